package settings

// Organisation is an organisation whose callers have keys.
type Organisation struct {
	Name  string
	Title string
	Rank  int
	// Rate is in requests per second, and Burst in requests. A Rate of 0 means that
	// there is no limit.
	Rate  float64
	Burst float64
}
