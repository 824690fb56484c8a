package expert

import "github.com/foxtailstack/foxtailstack"

// Message is one message between the members of a group. Exactly one of its
// parts is set.
type Message struct {
	From foxtailstack.Rank `cbor:"1,keyasint"`
	To   foxtailstack.Rank `cbor:"2,keyasint"`
	// Life is the life of the sender.
	Life     Life      `cbor:"3,keyasint"`
	Vote     *Vote     `cbor:"4,keyasint,omitempty"`
	Inquiry  *Inquiry  `cbor:"5,keyasint,omitempty"`
	Answer   *Answer   `cbor:"6,keyasint,omitempty"`
	Outdated *Outdated `cbor:"7,keyasint,omitempty"`
	Proposal *Proposal `cbor:"8,keyasint,omitempty"`
	Staged   *Staged   `cbor:"9,keyasint,omitempty"`
}

// Vote tells the votes that the sender holds in an attempt.
type Vote struct {
	ID     AttemptID `cbor:"1,keyasint"`
	Ballot Ballot    `cbor:"2,keyasint"`
	Yes    Ranks     `cbor:"3,keyasint"`
	Full   Ranks     `cbor:"4,keyasint"`
	// No tells that the attempt has failed for good.
	No bool `cbor:"5,keyasint,omitempty"`
	// Attempt is set until the receiver is known to have it.
	Attempt *Attempt `cbor:"6,keyasint,omitempty"`
}

// Inquiry asks for the state of a peer and bars the former lives of the sender.
type Inquiry struct {
	// Round numbers the rounds of questions; even ones confirm a cold start.
	Round int `cbor:"1,keyasint"`
	// Lives are the lives of all ranks, in even rounds, which bars former ones.
	Lives []Life `cbor:"2,keyasint,omitempty"`
}

// Answer answers an Inquiry. It promises to take no vote of a former life of
// the receiver that the answer does not tell.
type Answer struct {
	// Asker is the life of the rank that asked.
	Asker Life `cbor:"1,keyasint"`
	Round int  `cbor:"2,keyasint"`
	// Resolved tells that the sender takes part; else State is what it has
	// gathered for its own start.
	Resolved bool  `cbor:"3,keyasint,omitempty"`
	State    State `cbor:"4,keyasint"`
}

// State is what a member knows of the maps of its group.
type State struct {
	// Known is false while the member knows of no map.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Epoch is the map in use from step Since on, and Prev the one before.
	Epoch foxtailstack.Epoch `cbor:"2,keyasint"`
	Prev  foxtailstack.Epoch `cbor:"3,keyasint"`
	Since foxtailstack.Step  `cbor:"4,keyasint"`
	// ID is the attempt that brought Epoch.
	ID AttemptID `cbor:"5,keyasint"`
	// Started is the highest step that the rank may have started.
	Started foxtailstack.Step `cbor:"6,keyasint"`
	// Ballot is the highest attempt that the rank has voted in.
	Ballot Ballot `cbor:"7,keyasint"`
	// Held are the attempts whose outcome is not known.
	Held []Held `cbor:"8,keyasint,omitempty"`
}

// Outdated tells the sender of a message that a later life of its rank is known.
type Outdated struct {
	Asker Life `cbor:"1,keyasint"`
	Known Life `cbor:"2,keyasint"`
}

// Proposal asks the ranks to stage the map of an epoch.
type Proposal struct {
	Epoch  foxtailstack.Epoch `cbor:"1,keyasint"`
	Digest uint64             `cbor:"2,keyasint"`
}

// Staged tells the proposer that a rank has the weights of a map.
type Staged struct {
	Epoch  foxtailstack.Epoch `cbor:"1,keyasint"`
	Digest uint64             `cbor:"2,keyasint"`
	// Base is the map in use and Started the last step started.
	Base    foxtailstack.Epoch `cbor:"3,keyasint"`
	Started foxtailstack.Step  `cbor:"4,keyasint"`
}
