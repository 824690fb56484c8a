package foxtailstack

import "context"

// WeightStore is the rate-limited weight store of the platform.
type WeightStore interface {
	// Load makes the weights of an expert of a layer ready beside the present
	// ones. It returns once they are, at the rate of the store.
	Load(ctx context.Context, layer int, e Expert) error
}
