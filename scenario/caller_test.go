package scenario

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack/entry"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/rogpeppe/go-internal/testscript"
)

// sendTimeout bounds one request.
const sendTimeout = 30 * time.Second

// answer is the answer to a request.
type answer struct {
	status  int
	outcome string
	retry   string
	body    string
	err     error
}

// client returns a client that trusts the authority of the script.
func (s *system) client() (*http.Client, error) {
	data, err := os.ReadFile(filepath.Join(s.dir, "keys", "authority.pem"))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return &http.Client{
		Timeout:   sendTimeout,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}},
	}, nil
}

// apply declares the resources in a file. ADDRESS(NAME) in it becomes the
// address of a link to the process.
func (s *system) apply(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	server := "entry1"
	if len(args) == 2 {
		server = args[1]
	}
	text := ts.ReadFile(args[0])
	for name := range s.processes {
		l, err := s.linkTo(name)
		if err != nil {
			return err
		}
		text = strings.ReplaceAll(text, "ADDRESS("+name+")", l.address())
	}
	path := filepath.Join(s.dir, "applied.toml")
	err := os.WriteFile(path, []byte(text), 0o644)
	if err != nil {
		return err
	}
	out, err := exec.Command("foxtailstack", "apply", "-f", path, "--server", s.processes[server].url,
		"--authority", filepath.Join(s.dir, "keys", "authority.pem"), "--token", operatorToken).CombinedOutput()
	ts.Logf("%s", out)
	time.Sleep(time.Second)
	return err
}

// send sends a request.
func (s *system) send(ts *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	to := flags.String("to", "entry1", "entry")
	key := flags.String("key", "", "idempotency key")
	stream := flags.Bool("stream", false, "ask for a stream")
	background := flags.String("bg", "", "name of a request in the background")
	token := flags.String("token", "caller-token", "caller's token")
	err := flags.Parse(args)
	if err != nil || flags.NArg() != 2 {
		return errUsage
	}
	request, err := http.NewRequest(http.MethodPost,
		s.processes[*to].url+"/v1/fleets/"+flags.Arg(0), strings.NewReader(flags.Arg(1)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+*token)
	request.Header.Set("Content-Type", "application/json")
	if *key != "" {
		request.Header.Set(entry.HeaderIdempotency, *key)
	}
	if *stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	if *background != "" {
		done := make(chan answer, 1)
		s.answers[*background] = done
		go func() { done <- exchange(client, request) }()
		return nil
	}
	s.last = exchange(client, request)
	ts.Logf("%+v", s.last)
	return nil
}

// join waits for a request in the background.
func (s *system) join(ts *testscript.TestScript, args []string) error {
	if len(args) != 1 || s.answers[args[0]] == nil {
		return errUsage
	}
	s.last = <-s.answers[args[0]]
	ts.Logf("%+v", s.last)
	return nil
}

// exchange sends a request and reads its whole answer.
func exchange(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	outcome := response.Header.Get(entry.HeaderOutcome)
	if outcome == "" {
		outcome = response.Trailer.Get(entry.HeaderOutcome)
	}
	return answer{
		status:  response.StatusCode,
		outcome: outcome,
		retry:   response.Header.Get("Retry-After"),
		body:    string(data),
		err:     err,
	}
}

// expect checks the last answer, or how often the engines ran a text.
func (s *system) expect(_ *testscript.TestScript, args []string) error {
	if len(args) == 3 && args[0] == "ran" {
		want, err := strconv.Atoi(args[2])
		if err != nil {
			return errUsage
		}
		got, err := s.executions(args[1])
		if err == nil && got != want {
			err = fmt.Errorf("engines ran %q %d times, expected %d", args[1], got, want)
		}
		return err
	}
	if len(args) != 2 {
		return errUsage
	}
	ok := false
	switch args[0] {
	case "status":
		ok = strconv.Itoa(s.last.status) == args[1]
	case "outcome":
		ok = s.last.outcome == args[1]
	case "retry":
		ok = (s.last.retry != "") == (args[1] == "yes")
	case "body":
		ok = strings.Contains(s.last.body, args[1])
	}
	if !ok || s.last.err != nil {
		return fmt.Errorf("expected %s %q, got %+v", args[0], args[1], s.last)
	}
	return nil
}

// matches checks the body of the last answer against a regular expression.
func (s *system) matches(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	if !pattern.MatchString(s.last.body) {
		return fmt.Errorf("body does not match %s: %s", pattern, s.last.body)
	}
	return nil
}

// executions counts the runs of a text over all engines that answer.
func (s *system) executions(text string) (int, error) {
	n := 0
	for name, p := range s.processes {
		if !strings.HasPrefix(name, "engine") {
			continue
		}
		response, err := http.Get(p.url + "/executions")
		if err != nil {
			return 0, err
		}
		var executions []standin.Execution
		err = json.NewDecoder(response.Body).Decode(&executions)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		for _, execution := range executions {
			if execution.Text == text {
				n++
			}
		}
	}
	return n, nil
}

func (s *system) outage(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	return s.post("platform", standin.Faults{Outage: args[0] == "on"})
}

func (s *system) slow(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	delay, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return s.post("platform", standin.Faults{Delay: delay})
}

func (s *system) lose(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return s.post("platform", standin.Faults{LoseAnswers: n})
}

func (s *system) engineFaults(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	return s.post(args[0], json.RawMessage(args[1]))
}

// post sets the faults of a stand-in.
func (s *system) post(name string, faults any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		s.processes[name].url+standin.PathFaults, strings.NewReader(string(data)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
