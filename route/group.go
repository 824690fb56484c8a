package route

import "time"

// Group describes the engines of a model group: how long a pass takes and what
// its expert maps may look like.
type Group struct {
	// Slots is the number of requests that one rank runs at once.
	Slots int
	// TokenStepsPerPass is the number of token steps in a pass with writers.
	TokenStepsPerPass int
	// StepTime is the time of a token step without requests.
	StepTime time.Duration
	// StepTimePerSequence is the time that each writing request adds to a step.
	StepTimePerSequence time.Duration
	// PromptTokensPerSecond is the number of prompt tokens read in a second.
	PromptTokensPerSecond float64
	// LayerSets is the number of sets of layers, each with its own experts.
	LayerSets int
	// Experts is the number of experts in each set.
	Experts int
	// ExpertsPerRank is the number of experts that one rank holds in each set.
	ExpertsPerRank int
	// MaxNewExperts is the most experts of a set that may be new to a rank in one map.
	MaxNewExperts int
	// ExpertShare is the part of the work on tokens that experts do.
	ExpertShare float64
	// MaxEventGap is the longest pause between events that any route to the service
	// allows; zero if none says.
	MaxEventGap time.Duration
	// FormationTime is the time that a group takes to open after its last rank is back.
	FormationTime time.Duration
}
