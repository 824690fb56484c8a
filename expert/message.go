package expert

import "github.com/foxtailstack/foxtailstack"

// Message is a message between two members of a group. Exactly one of its
// pointer fields is set.
type Message struct {
	From foxtailstack.Rank `cbor:"1,keyasint"`
	To   foxtailstack.Rank `cbor:"2,keyasint"`
	// Generation is the generation of the sender.
	Generation    Generation     `cbor:"3,keyasint"`
	Votes         *Votes         `cbor:"4,keyasint,omitempty"`
	StateRequest  *StateRequest  `cbor:"5,keyasint,omitempty"`
	StateResponse *StateResponse `cbor:"6,keyasint,omitempty"`
	Outdated      *Outdated      `cbor:"7,keyasint,omitempty"`
	Proposal      *Proposal      `cbor:"8,keyasint,omitempty"`
	StagingReport *StagingReport `cbor:"9,keyasint,omitempty"`
}

// Votes holds the votes that the sender has seen in an attempt. Yes and Confirmed
// are as in VoteRecord, and empty if No is set.
type Votes struct {
	// ID and Ballot are those of the attempt.
	ID        AttemptID `cbor:"1,keyasint"`
	Ballot    Ballot    `cbor:"2,keyasint"`
	Yes       RankSet   `cbor:"3,keyasint"`
	Confirmed RankSet   `cbor:"4,keyasint"`
	// No means that the attempt has failed for good.
	No bool `cbor:"5,keyasint,omitempty"`
	// Attempt is set until the receiver is known to have it.
	Attempt *Attempt `cbor:"6,keyasint,omitempty"`
}

// StateRequest asks a peer for its State. It also makes the peer reject messages
// of earlier generations of the sender.
type StateRequest struct {
	// Round numbers the rounds of requests of one recovery. Even rounds confirm
	// that no rank of the group knows of a map (a cold start).
	Round int `cbor:"1,keyasint"`
	// Generations are the generations of all ranks that the sender has seen.
	// They are set in even rounds only; the receiver then rejects messages of
	// earlier generations of these ranks.
	Generations []Generation `cbor:"2,keyasint,omitempty"`
}

// StateResponse is the response to a StateRequest. From then on, its sender
// ignores votes of earlier generations of the requester, except those listed in
// State.Undecided, which the requester may reaffirm.
type StateResponse struct {
	// RequesterGeneration is the generation of the rank that sent the request.
	RequesterGeneration Generation `cbor:"1,keyasint"`
	Round               int        `cbor:"2,keyasint"`
	// Recovered means that the sender has recovered and State is its own.
	// Otherwise, State is what the sender has collected for its own recovery so
	// far.
	Recovered bool  `cbor:"3,keyasint,omitempty"`
	State     State `cbor:"4,keyasint"`
}

// State is what a member knows of the maps of its group.
type State struct {
	// HasMap is false while the member knows of no map. Even the map of epoch
	// zero counts only once recovery has established it.
	HasMap bool `cbor:"1,keyasint,omitempty"`
	// Epoch is the epoch of the map in use from step FirstStep on, and
	// PreviousEpoch that of the map before FirstStep.
	Epoch         foxtailstack.Epoch `cbor:"2,keyasint"`
	PreviousEpoch foxtailstack.Epoch `cbor:"3,keyasint"`
	FirstStep     foxtailstack.Step  `cbor:"4,keyasint"`
	// AttemptID is the attempt that switched the group to Epoch.
	AttemptID AttemptID `cbor:"5,keyasint"`
	// HighestStarted is the highest step that the rank may have started. In a
	// state that is being collected for recovery, it is the maximum over the
	// peers; after a recovery that found a map, that maximum plus one.
	HighestStarted foxtailstack.Step `cbor:"6,keyasint"`
	// Ballot is the highest ballot that the rank has voted in. In a state that is
	// being collected for recovery, it is the maximum over the peers; after a
	// recovery, it is not below that maximum or the ballot of any undecided attempt
	// that was collected.
	Ballot Ballot `cbor:"7,keyasint"`
	// Undecided are the attempts whose outcome is not known to the member.
	Undecided []VoteRecord `cbor:"8,keyasint,omitempty"`
}

// Outdated notifies the sender of a message that a peer has seen a later
// generation of its rank.
type Outdated struct {
	// RejectedGeneration is the generation in the rejected message, and
	// LatestGeneration the latest one that the peer has seen of the same rank.
	RejectedGeneration Generation `cbor:"1,keyasint"`
	LatestGeneration   Generation `cbor:"2,keyasint"`
}

// Proposal asks a rank to load the weights of the map of an epoch. Digest is the
// XXH3 hash of the map as encoded in CBOR in its row of Store.
type Proposal struct {
	Epoch  foxtailstack.Epoch `cbor:"1,keyasint"`
	Digest uint64             `cbor:"2,keyasint"`
}

// StagingReport tells the proposer which map the rank has loaded the weights of.
type StagingReport struct {
	Epoch  foxtailstack.Epoch `cbor:"1,keyasint"`
	Digest uint64             `cbor:"2,keyasint"`
	// Base is the epoch of the map in use; no code reads it, and it stays for
	// the wire format. HighestStarted is the highest step that the rank may have
	// started.
	Base           foxtailstack.Epoch `cbor:"3,keyasint"`
	HighestStarted foxtailstack.Step  `cbor:"4,keyasint"`
}
