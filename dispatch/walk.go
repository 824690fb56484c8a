package dispatch

import "math/rand/v2"

// walk visits the numbers below n once each: from one drawn by chance on, by steps
// of a length drawn by chance. It needs no memory, unlike a permutation.
type walk struct {
	at, step, n int
}

// newWalk returns a walk over the numbers below n.
func newWalk(n int) walk {
	if n <= 1 {
		return walk{n: max(n, 1)}
	}
	step := 1 + rand.IntN(n-1)
	for gcd(step, n) != 1 {
		step = 1 + rand.IntN(n-1)
	}
	return walk{
		at:   rand.IntN(n),
		step: step,
		n:    n,
	}
}

// next returns the next number.
func (w *walk) next() int {
	w.at = (w.at + w.step) % w.n
	return w.at
}

// gcd returns the greatest common divisor of two positive numbers.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
