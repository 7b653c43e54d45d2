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
	var workspaces, classes LabelValues
	for i := range MaxLabelValues {
		is.True(workspaces.Bound(fmt.Sprint(i)) != Other)
	}
	is.Equal(workspaces.Bound("more"), Other)
	is.Equal(workspaces.Bound("7"), "7")
	is.Equal(classes.Bound("more"), "more")
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
