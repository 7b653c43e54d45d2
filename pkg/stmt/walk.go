package stmt

import (
	"strconv"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// cursorHold is CURSOR_OPT_HOLD in PostgreSQL's parsenodes.h.
const cursorHold = 0x0020

// persistenceTemp is RELPERSISTENCE_TEMP in PostgreSQL's pg_class.h.
const persistenceTemp = "t"

func itoa(i int32) string { return strconv.FormatInt(int64(i), 10) }

// classifyTree classifies a statement by all nodes of its syntax tree.
func classifyTree(n *pg.Node) Info {
	w := treeWalker{readOnly: isReadStatement(n)}
	w.visitMessage(n.ProtoReflect())
	if w.reason != "" {
		return unsupported(w.reason)
	}
	return Info{ReadOnly: w.readOnly, Taints: w.taints}
}

// isReadStatement reports whether the root node has a type of statement that can
// be a read.
func isReadStatement(n *pg.Node) bool {
	switch n.GetNode().(type) {
	case *pg.Node_SelectStmt, *pg.Node_ExplainStmt, *pg.Node_FetchStmt, *pg.Node_ClosePortalStmt,
		*pg.Node_DeclareCursorStmt, *pg.Node_ConstraintsSetStmt:
		return true
	}
	return false
}

// treeWalker collects the properties of a syntax tree.
type treeWalker struct {
	readOnly bool
	taints   bool
	reason   string
}

func (w *treeWalker) visitMessage(m protoreflect.Message) {
	w.visitNode(m.Interface())
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Kind() != protoreflect.MessageKind:
		case f.IsList():
			l := v.List()
			for i := range l.Len() {
				w.visitMessage(l.Get(i).Message())
			}
		default:
			w.visitMessage(v.Message())
		}
		return w.reason == ""
	})
}

func (w *treeWalker) visitNode(m any) {
	switch s := m.(type) {
	case *pg.InsertStmt, *pg.UpdateStmt, *pg.DeleteStmt, *pg.MergeStmt, *pg.LockingClause, *pg.IntoClause:
		w.readOnly = false
	case *pg.ListenStmt, *pg.PrepareStmt, *pg.ExecuteStmt, *pg.CopyStmt:
		w.reason = "the statement needs a session of its own"
	case *pg.DoStmt, *pg.CallStmt:
		// The parser does not see into their bodies, which may set session
		// variables.
		w.readOnly, w.taints = false, true
	case *pg.DeclareCursorStmt:
		if s.Options&cursorHold != 0 {
			w.reason = "a cursor WITH HOLD outlives its transaction"
		}
	case *pg.RangeVar:
		w.visitTable(s)
	case *pg.FuncCall:
		w.visitFunction(s)
	}
}

func (w *treeWalker) visitTable(s *pg.RangeVar) {
	if s.Relpersistence == persistenceTemp || strings.HasPrefix(s.Schemaname, "pg_temp") {
		w.reason = "temporary tables belong to a session"
	}
	switch s.Relname {
	case "pg_prepared_statements", "pg_cursors", "pg_stat_activity":
		// All callers share the proxy's user at the targets, so that PostgreSQL
		// does not hide their statements from each other.
		w.reason = s.Relname + " shows the statements of other callers"
	}
}

func (w *treeWalker) visitFunction(s *pg.FuncCall) {
	if len(s.Funcname) == 0 {
		return
	}
	name := strings.ToLower(s.Funcname[len(s.Funcname)-1].GetString_().GetSval())
	if reason := refusedFunction(name); reason != "" {
		w.reason = reason
		return
	}
	builtin := len(s.Funcname) == 1 || s.Funcname[0].GetString_().GetSval() == "pg_catalog"
	if !builtin || !pureFunctions[name] {
		w.readOnly = false
	}
}

// refusedFunction returns the reason for which callers may not call a function,
// or "" if they may.
func refusedFunction(name string) string {
	switch {
	case strings.HasPrefix(name, "chervil_"):
		// They act on the group itself, for example by promoting a primary.
		return "the function " + name + " is for the proxy only"
	case strings.HasPrefix(name, "pg_advisory_xact_"), strings.HasPrefix(name, "pg_try_advisory_xact_"):
		return ""
	case strings.HasPrefix(name, "pg_advisory_"), strings.HasPrefix(name, "pg_try_advisory_"):
		return "advisory locks of a session are not pooled; use pg_advisory_xact_lock"
	}
	switch name {
	case "set_config", "currval", "lastval", "setseed":
		return "the function " + name + " needs a session of its own"
	case "pg_prepared_statement", "pg_cursor", "pg_stat_get_activity", "pg_stat_get_backend_activity":
		return "the function " + name + " shows the statements of other callers"
	case "pg_terminate_backend", "pg_cancel_backend", "pg_reload_conf", "pg_promote":
		return "the function " + name + " acts on other sessions"
	}
	return ""
}

// pureFunctions is the set of built-in functions that a replica can run: they
// write nothing and depend on no session state that pooling does not preserve.
var pureFunctions = func() map[string]bool {
	set := map[string]bool{}
	for _, name := range strings.Fields(pureFunctionNames) {
		set[name] = true
	}
	return set
}()

const pureFunctionNames = `
abs acos age array_agg array_append array_cat array_length array_lower array_ndims
array_position array_positions array_prepend array_remove array_replace array_to_json
array_to_string array_upper ascii asin atan atan2 avg bit_and bit_length bit_or bool_and
bool_or btrim cardinality cbrt ceil ceiling char_length character_length chr clock_timestamp
coalesce col_description concat concat_ws corr cos count covar_pop covar_samp cume_dist
current_database current_schema current_schemas current_setting date date_bin date_part
date_trunc decode degrees dense_rank div encode every exp extract factorial first_value floor
format format_type gcd gen_random_uuid generate_series generate_subscripts get_bit get_byte
has_column_privilege has_schema_privilege has_table_privilege inet_client_addr initcap
int4range int8range isfinite json_agg json_array_elements json_array_elements_text
json_array_length json_build_array json_build_object json_each json_each_text
json_extract_path json_extract_path_text json_object json_object_agg json_object_keys
json_strip_nulls json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text
jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg
jsonb_object_keys jsonb_path_exists jsonb_path_query jsonb_path_query_array
jsonb_path_query_first jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_to_recordset
jsonb_typeof justify_days justify_hours justify_interval lag last_value lcm lead left length
ln localtimestamp log log10 lower lower_inf lpad ltrim make_date make_interval make_time
make_timestamp make_timestamptz max md5 min mod mode normalize now nth_value ntile num_nulls
num_nonnulls numrange obj_description octet_length overlaps overlay parse_ident percent_rank
percentile_cont percentile_disc pg_encoding_to_char pg_get_constraintdef pg_get_expr
pg_get_indexdef pg_get_userbyid pg_get_viewdef pg_is_in_recovery pg_relation_size pg_sleep
pg_table_is_visible pg_total_relation_size pg_typeof plainto_tsquery position power
quote_ident quote_literal quote_nullable radians random range_agg rank regexp_count
regexp_instr regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
regexp_split_to_table regexp_substr regr_count regr_slope repeat replace reverse right round
row_number row_to_json rpad rtrim sha224 sha256 sha384 sha512 shobj_description sign sin
split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg
string_to_array string_to_table strpos substr substring sum tan timeofday timezone to_char
to_date to_hex to_json to_jsonb to_number to_regclass to_timestamp to_tsquery to_tsvector
transaction_timestamp translate trim trunc ts_headline ts_rank tsrange tstzrange unnest upper
upper_inf var_pop var_samp variance version websearch_to_tsquery width_bucket
xmlagg`
