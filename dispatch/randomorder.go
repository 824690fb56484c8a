package dispatch

import "math/rand/v2"

// randomOrder enumerates the numbers below n once each in a random order: from a
// random start in steps of a random length that has no common divisor with n. Unlike
// a permutation it allocates nothing.
type randomOrder struct {
	at, step, n int
}

// newRandomOrder returns a random order of the numbers below n.
func newRandomOrder(n int) randomOrder {
	if n <= 1 {
		return randomOrder{n: max(n, 1)}
	}
	step := 1 + rand.IntN(n-1)
	for gcd(step, n) != 1 {
		step = 1 + rand.IntN(n-1)
	}
	return randomOrder{
		at:   rand.IntN(n),
		step: step,
		n:    n,
	}
}

// next returns the next number.
func (o *randomOrder) next() int {
	o.at = (o.at + o.step) % o.n
	return o.at
}

// gcd returns the greatest common divisor of two positive numbers.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
