package foxtailstack

import "context"

// WeightStore is the rate-limited weight store of the platform.
type WeightStore interface {
	// Load loads the weights of an expert of a layer in addition to those that are
	// loaded already, at the rate limit of the store. It returns once they are loaded.
	Load(ctx context.Context, layer int, e Expert) error
}
