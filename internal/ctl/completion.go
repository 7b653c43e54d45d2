package ctl

import (
	"fmt"
	"reflect"
	"strings"
)

// completion prints a completion script; bash loads it with
// source <(chervilctl completion bash).
func (c *command) completion(a *completionArgs) error {
	if a.Shell != "bash" {
		return badInput("completion", fmt.Sprintf("%q is not supported; allowed: bash", a.Shell))
	}
	_, err := fmt.Fprint(c.env.Out, bashScript())
	return err
}

func bashScript() string {
	top := reflect.TypeFor[args]()
	commands, global := subcommandsAndFlags(top)
	var b strings.Builder
	b.WriteString("_chervilctl() {\n  local cur=${COMP_WORDS[COMP_CWORD]} words= i\n")
	fmt.Fprintf(&b, "  words=%q\n", strings.Join(append(subcommandNames(commands), global...), " "))
	b.WriteString("  for ((i = 1; i < COMP_CWORD; i++)); do\n    case ${COMP_WORDS[i]} in\n")
	writeCases(&b, commands, global)
	b.WriteString("    esac\n  done\n")
	b.WriteString("  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n")
	b.WriteString("  case ${COMP_WORDS[COMP_CWORD-1]} in\n    -f|--file|-o|--output|--cert|--key|--ca) COMPREPLY=($(compgen -f -- \"$cur\")) ;;\n  esac\n}\n")
	b.WriteString("complete -F _chervilctl chervilctl\n")
	return b.String()
}

// subcommand is a subcommand with the type of its arguments.
type subcommand struct {
	name string
	t    reflect.Type
}

func subcommandNames(subs []subcommand) []string {
	out := make([]string, len(subs))
	for i, s := range subs {
		out[i] = s.name
	}
	return out
}

func writeCases(b *strings.Builder, subs []subcommand, global []string) {
	for _, s := range subs {
		inner, flags := subcommandsAndFlags(s.t)
		list := append(append(subcommandNames(inner), flags...), global...)
		fmt.Fprintf(b, "      %s) words=%q ;;\n", s.name, strings.Join(list, " "))
		writeCases(b, inner, global)
	}
}

// subcommandsAndFlags returns the subcommands and the long flags in the tags of a
// struct of arguments.
func subcommandsAndFlags(t reflect.Type) (subs []subcommand, flags []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			_, more := subcommandsAndFlags(f.Type)
			flags = append(flags, more...)
			continue
		}
		for _, part := range strings.Split(f.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
				subs = append(subs, subcommand{name, f.Type.Elem()})
			}
			if strings.HasPrefix(part, "--") {
				flags = append(flags, part)
			}
		}
	}
	return subs, flags
}
