package dispatch

import "testing"

func TestWalkVisitsAllOnce(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 12, 63, 128, 1001} {
		w := newWalk(n)
		seen := make([]bool, n)
		for range n {
			i := w.next()
			if i < 0 || i >= n || seen[i] {
				t.Fatalf("n = %d: visited %d out of turn", n, i)
			}
			seen[i] = true
		}
	}
}

func BenchmarkWalk(b *testing.B) {
	for range b.N {
		w := newWalk(63)
		_ = w.next()
	}
}
