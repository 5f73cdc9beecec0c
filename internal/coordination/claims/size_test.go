package claims

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Maximum bytes of the messages for one request with a newly generated key: two requests with the claim
// and two responses.
const (
	maximumQuestionBytes = 230
	maximumAnswerBytes   = 110
)

// realistic returns a claim with names as long as in a deployment.
func realistic() (Key, *Claim) {
	key := NewKey("tenant-01", "request")
	return key, &Claim{
		State: Dispatched, Owner: accounts.HolderID{Node: "lhr-a-2", Incarnation: 1796200000000000000}, Budget: "tenant-01-prepaid",
		Sequence: 1234, Reserved: 900, Backend: "qalam-llm-01", RequestID: key.String() + "-0", Fingerprint: 1 << 60,
	}
}

func TestBytesOfARequestsClaimMessages(t *testing.T) {
	group := newTrio(false)
	proposer := group.proposer("h1")
	key, claim := realistic()
	proposer.ChangeMinted(0, testDeadline, "z", key, func(*Claim) *Claim { return claim }, func(Outcome) {})
	var question Message
	for _, asked := range proposer.Outgoing() {
		if asked.To != "h1" {
			question = asked.Message
		}
	}
	frame, err := peer.Encode(peer.KindClaims, []Message{question})
	assert.NilError(t, err)
	answer, err := peer.Encode(peer.KindClaims, []Message{group.holders["h2"].Step(0, question)[0].Message})
	assert.NilError(t, err)
	t.Logf("request %d bytes, response %d bytes", len(frame), len(answer))
	assert.Assert(t, len(frame) <= maximumQuestionBytes, "%d bytes", len(frame))
	assert.Assert(t, len(answer) <= maximumAnswerBytes, "%d bytes", len(answer))
}
