// Package strict decodes JSON documents that people edit. It rejects unknown and
// repeated fields, continues after a problem so that all are reported at once,
// and gives the line and the JSON Pointer (RFC 6901) of each.
//
// # Usage
//
//	var cfg Settings
//	doc := strict.Decode(data, &cfg)
//	if doc.WellFormed() {
//		doc.AddProblems(check(&cfg)) // rules that the types do not express
//	}
//	for _, p := range doc.Problems() {
//		fmt.Println(p) // line 3: /zone: has 7; allowed: a string
//	}
package strict
