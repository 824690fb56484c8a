package dispatch

import "testing"

func TestRandomOrderVisitsAllOnce(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 12, 63, 128, 1001} {
		order := newRandomOrder(n)
		seen := make([]bool, n)
		for range n {
			i := order.next()
			if i < 0 || i >= n || seen[i] {
				t.Fatalf("n = %d: next returned %d, want each number from 0 to n-1 once", n, i)
			}
			seen[i] = true
		}
	}
}

func BenchmarkRandomOrder(b *testing.B) {
	for range b.N {
		order := newRandomOrder(63)
		_ = order.next()
	}
}
