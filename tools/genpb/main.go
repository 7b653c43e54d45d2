// Command genpb compiles protocol buffer files and runs a protoc plugin on them. It
// needs no protoc.
//
// # Usage
//
//	genpb -plugin .bin/protoc-gen-go -out . -opt module=example.com/m -dir proto a.proto b.proto
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	plugin := flag.String("plugin", "", "path of the generator")
	out := flag.String("out", ".", "folder of the generated files")
	opt := flag.String("opt", "", "options for the generator")
	dir := flag.String("dir", "proto", "folder of the files")
	flag.Parse()
	if err := run(*plugin, *out, *opt, *dir, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "genpb:", err)
		os.Exit(1)
	}
}

func run(plugin, out, opt, dir string, files []string) error {
	req, err := compile(dir, opt, files)
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(raw), os.Stderr
	answer, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("run %s: %w", plugin, err)
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(answer, &resp); err != nil {
		return err
	}
	if resp.Error != nil {
		return fmt.Errorf("%s: %s", plugin, resp.GetError())
	}
	for _, f := range resp.File {
		path := filepath.Join(out, f.GetName())
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// compile returns the request for a plugin. Imported files come before the files
// that import them, as plugins require.
func compile(dir, opt string, files []string) (*pluginpb.CodeGeneratorRequest, error) {
	c := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{dir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	linked, err := c.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, Parameter: proto.String(opt)}
	seen := map[string]bool{}
	var add func(f protoreflect.FileDescriptor)
	add = func(f protoreflect.FileDescriptor) {
		if seen[f.Path()] {
			return
		}
		seen[f.Path()] = true
		for i := range f.Imports().Len() {
			add(f.Imports().Get(i).FileDescriptor)
		}
		req.ProtoFile = append(req.ProtoFile, toProto(f))
	}
	for _, f := range linked {
		add(f)
	}
	return req, nil
}

// toProto returns the descriptor of a compiled file with its comments, which
// protodesc drops.
func toProto(f protoreflect.FileDescriptor) *descriptorpb.FileDescriptorProto {
	if r, ok := f.(interface {
		FileDescriptorProto() *descriptorpb.FileDescriptorProto
	}); ok {
		return r.FileDescriptorProto()
	}
	return protodesc.ToFileDescriptorProto(f)
}
