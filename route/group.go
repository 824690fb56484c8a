package route

import "time"

// Group holds the parameters of the model groups behind a service: those that
// determine the duration of a pass, those that limit the expert maps, and the slots
// and formation time.
type Group struct {
	// Slots is the number of requests that one rank runs concurrently.
	Slots int
	// TokenStepsPerPass is the number of token steps in a pass, provided that at least
	// one request generates tokens. A token step generates one token per sequence.
	TokenStepsPerPass int
	// TokenStepTime is the duration of a token step without requests.
	TokenStepTime time.Duration
	// TokenStepTimePerSequence is the time that each request that generates tokens adds
	// to a token step.
	TokenStepTimePerSequence time.Duration
	// PromptTokensPerSecond is the rate at which prompts are read.
	PromptTokensPerSecond float64
	// LayerSets is the number of sets of layers. Each set has its own experts.
	LayerSets int
	// Experts is the number of experts in each layer set.
	Experts int
	// ExpertsPerRank is the number of expert slots of each layer set on one rank (see
	// foxtailstack.ExpertLayer).
	ExpertsPerRank int
	// MaxNewExperts is the greatest number of experts of a layer set that one rank may
	// have to load for one expert map.
	MaxNewExperts int
	// ExpertShare is the fraction of the work per token that experts do.
	ExpertShare float64
	// MaxEventGap is the lowest MaxEventGap of the routes to the service; zero if none
	// of them sets one.
	MaxEventGap time.Duration
	// FormationTime is the time from the return of a group's last rank until the group
	// opens.
	FormationTime time.Duration
}
