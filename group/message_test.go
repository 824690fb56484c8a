package group

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Processes of two versions exchange messages during an upgrade, so the encoding of
// each message must not change when a type or a field is renamed or moved. The golden
// files hold the encoded messages in hexadecimal; UPDATE_GOLDEN=1 writes them.
func TestMessages(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{
			name:    "report",
			message: &Report{},
		},
		{
			name:    "order",
			message: &Order{},
		},
		{
			name:    "status",
			message: &StatusMessage{},
		},
		{
			name:    "statusanswer",
			message: &statusReply{},
		},
		{
			name:    "planner",
			message: &PlannerInfo{},
		},
		{
			name:    "observation",
			message: &Observation{},
		},
		{
			name:    "experts",
			message: &expertsReply{},
		},
		{
			name:    "sample",
			message: &Sample{},
		},
		{
			name:    "forwarded",
			message: &forwardRequest{},
		},
		{
			name:    "forwardreply",
			message: &forwardReply{},
		},
		{
			name:    "gather",
			message: &gatherRequest{},
		},
		{
			name:    "gatherreply",
			message: &gatherReply{},
		},
		{
			name:    "armrecord",
			message: &ArmRecord{},
		},
		{
			name:    "delegatedorder",
			message: &delegatedOrder{},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := 0
			fill(t, reflect.ValueOf(test.message).Elem(), &n)
			data, err := encode(test.message)
			if err != nil {
				t.Fatalf("encode message: %v", err)
			}
			path := filepath.Join("testdata", test.name+".golden")
			got := hex.EncodeToString(data) + "\n"
			if os.Getenv("UPDATE_GOLDEN") != "" {
				if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
					t.Fatalf("write golden file: %v", err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatalf("read golden file: %v", err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("encoding differs (-want +got):\n%s", diff)
			}
			golden, err := hex.DecodeString(string(bytes.TrimSpace(want)))
			if err != nil {
				t.Fatalf("decode golden file as hexadecimal: %v", err)
			}
			decoded := reflect.New(reflect.TypeOf(test.message).Elem()).Interface()
			if err := decode(bytes.NewReader(golden), decoded); err != nil {
				t.Fatalf("decode golden message: %v", err)
			}
			if diff := cmp.Diff(test.message, decoded); diff != "" {
				t.Errorf("decoded message differs (-want +got):\n%s", diff)
			}
		})
	}
}

// fill sets every field to a value of its own, numbered from n upwards. Only bools
// are all true, so two swapped bools of one message are not noticed.
func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), n)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("s" + strconv.Itoa(*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	default:
		t.Fatalf("no value for a field of kind %s", v.Kind())
	}
}
