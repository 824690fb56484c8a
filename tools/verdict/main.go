// Verdict reads the output of "go test -json" on standard input, prints what
// failed and a summary, and exits with 1 unless every failed test is listed in
// the file of known failures.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// key names a test, or with an empty test a package.
type key struct {
	pkg  string
	test string
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file that lists the known failures")
	flag.Parse()
	listed, err := readKnown(*known)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !judge(bufio.NewScanner(os.Stdin), listed) {
		os.Exit(1)
	}
}

// readKnown returns the names of the tests in the lines that begin with "test:".
func readKnown(path string) (map[string]bool, error) {
	listed := map[string]bool{}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return listed, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "test:"); ok {
			listed[strings.TrimSpace(name)] = true
		}
	}
	return listed, nil
}

// judge prints the verdict and reports whether only listed tests failed.
func judge(in *bufio.Scanner, listed map[string]bool) bool {
	in.Buffer(make([]byte, 1<<20), 1<<26)
	output := map[key][]string{}
	failed := []key{}
	failedIn := map[string]bool{}
	passed, skipped, known := 0, 0, 0
	ok := true
	for in.Scan() {
		var e event
		if json.Unmarshal(in.Bytes(), &e) != nil {
			fmt.Println(in.Text())
			continue
		}
		k := key{
			pkg:  e.Package,
			test: e.Test,
		}
		switch e.Action {
		case "output", "build-output":
			output[k] = append(output[k], e.Output)
		case "pass":
			if e.Test == "" {
				fmt.Printf("ok  \t%s\n", e.Package)
			} else {
				passed++
			}
			delete(output, k)
		case "skip":
			if e.Test != "" {
				skipped++
			}
		case "build-fail":
			ok = false
		case "fail":
			if e.Test == "" && failedIn[e.Package] {
				continue
			}
			failedIn[e.Package] = true
			failed = append(failed, k)
		}
	}
	for _, k := range failed {
		if listed[k.test] && k.test != "" {
			known++
			fmt.Printf("known red: %s %s\n", k.pkg, k.test)
		} else {
			ok = false
			fmt.Printf("FAIL: %s %s\n", k.pkg, k.test)
		}
		fmt.Print(strings.Join(output[k], ""))
	}
	if !ok {
		for k, lines := range output {
			if k.pkg == "" {
				fmt.Print(strings.Join(lines, ""))
			}
		}
	}
	fmt.Printf("%d known failures of KNOWN-RED.txt were passed over\n", known)
	fmt.Printf("%d passed, %d failed, %d skipped\n", passed, len(failed), skipped)
	return ok && passed > 0
}
