package claim

import "context"

// DecideForTest asks holders one after another and decides as a Claimant does.
func DecideForTest(ask func(holder string) (Answer, error), group []string) Result {
	answers := make(chan Answer, len(group))
	for _, holder := range group {
		answer, err := ask(holder)
		if err != nil {
			answer = Answer{}
		}
		answers <- answer
	}
	result, _ := decide(context.Background(), answers, len(group))
	return result
}
