package metr

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLabel guards against callers that make the number of series grow without
// bound.
func TestLabel(t *testing.T) {
	is := is.New(t)
	m := New()
	defer func() { is.NoErr(m.Close()) }()
	for i := range MaxLabels {
		is.True(m.Label("workspace", fmt.Sprint(i)) != Other)
	}
	is.Equal(m.Label("workspace", "more"), Other)
	is.Equal(m.Label("workspace", "7"), "7")
	is.Equal(m.Label("class", "more"), "more")
}

// TestHandler guards against metrics that are counted but not exposed.
func TestHandler(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Scope.Counter("statements").Inc(3)
	is.NoErr(m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), "chervil_statements 3"))
}
