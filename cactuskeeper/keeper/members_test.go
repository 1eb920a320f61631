package keeper

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/core/consensus"
	genkeepers "cactusstream.example/core/gen/keepers"
	"cactusstream.example/core/link"
	"cactusstream.example/core/wal"
)

// TestNewLeaderAsksOperatorsToRetry guards against a change of the members that is refused for
// good because a leader was elected a moment before.
func TestNewLeaderAsksOperatorsToRetry(t *testing.T) {
	is := is.New(t)
	disk, err := wal.OpenFolder(t.TempDir())
	is.NoErr(err)
	members := NewMembersService(startKeeper(t, disk, link.NewMux()))
	for _, cause := range []error{consensus.ErrNotLeader, consensus.ErrNotReady} {
		var retry *genkeepers.NotLeaderError
		is.True(errors.As(members.toAPIError(context.Background(), fmt.Errorf("change: %w", cause)), &retry))
	}
	var refused *genkeepers.RefusedError
	is.True(errors.As(members.toAPIError(context.Background(), consensus.ErrQuorumAtRisk), &refused))
	is.Equal(refused.Outcome, "notRun")
}
