package dispatch

import "testing"

func TestRandomOrderVisitsAllOnce(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 12, 63, 128, 1001} {
		w := newRandomOrder(n)
		seen := make([]bool, n)
		for range n {
			i := w.next()
			if i < 0 || i >= n || seen[i] {
				t.Fatalf("n = %d: visited %d again, or outside the range", n, i)
			}
			seen[i] = true
		}
	}
}

func BenchmarkRandomOrder(b *testing.B) {
	for range b.N {
		w := newRandomOrder(63)
		_ = w.next()
	}
}
