package machine

import (
	"context"
	"net/http"
	"time"
)

// answerTime is how long a process that ends waits for answers to other processes and to the
// platform that have begun.
const answerTime = 100 * time.Millisecond

// stopServer ends a server. Requests in progress have answerTime to finish.
func stopServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		return server.Close()
	}
	return nil
}
