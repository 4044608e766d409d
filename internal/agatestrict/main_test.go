package agatestrict_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed and the number of generated documents.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.checks", "5000")
	os.Exit(m.Run())
}
