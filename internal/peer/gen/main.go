// Command gen compiles peerpb/peer.proto into Go without protoc. It writes to
// the path given as its argument:
//
//	go run ./internal/peer/gen internal/peer/peerpb/peer.pb.go
package main

import (
	"context"
	"log"
	"os"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	protoDir  = "internal/peer/peerpb"
	protoFile = "peer.proto"
)

func main() {
	log.SetFlags(0)
	if len(os.Args) != 2 {
		log.Fatal("usage: gen OUTPUT")
	}
	out, err := generate()
	if err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(os.Args[1], out, 0o644); err != nil {
		log.Fatal(err)
	}
}

func generate() ([]byte, error) {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{protoDir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), protoFile)
	if err != nil {
		return nil, err
	}
	fd := protoutil.ProtoFromFileDescriptor(files[0])
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile},
		ProtoFile:      []*descriptorpb.FileDescriptorProto{fd},
		Parameter:      proto.String("paths=source_relative"),
	}
	plugin, err := protogen.Options{}.New(req)
	if err != nil {
		return nil, err
	}
	g := internal_gengo.GenerateFile(plugin, plugin.Files[0])
	return g.Content()
}
