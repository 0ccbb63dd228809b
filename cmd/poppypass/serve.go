package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"poppypass/internal/controller"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// settingsFiles contains the paths of the settings file and of the properties file.
type settingsFiles struct{ config, properties string }

func (f *settingsFiles) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&f.config, "config", "", "path of the settings file (TOML)")
	command.Flags().StringVar(&f.properties, "properties", "", "path of the operators' own settings (Java-style properties)")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err) // unreachable: the flag is defined above
	}
}

// load reads both files and checks that they are consistent with each other.
func (f *settingsFiles) load() (*config.Settings, *config.OperatorSettings, error) {
	settings, err := config.Load(f.config)
	if err != nil {
		return nil, nil, err
	}
	operatorSettings, err := config.LoadProperties(f.properties)
	if err != nil {
		return nil, nil, err
	}
	return settings, operatorSettings, operatorSettings.Check(settings)
}

// logger returns a logger that writes to standard error, at the level that the environment variable LOG_LEVEL names.
func logger() (*slog.Logger, error) {
	var level slog.Level
	switch name := os.Getenv("LOG_LEVEL"); strings.ToLower(name) {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL is %q; it can be error, info or debug", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

func serveCommand() *cobra.Command {
	var files settingsFiles
	command := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a controller until it is killed",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), &files) },
	}
	files.addFlags(command)
	command.SetContext(context.Background())
	return command
}

// serve runs a controller until ctx ends or the process receives an interrupt or SIGTERM.
func serve(ctx context.Context, files *settingsFiles) error {
	log, err := logger()
	if err != nil {
		return err
	}
	settings, operatorSettings, err := files.load()
	if err != nil {
		return err
	}
	if memoryMiB := settings.Cluster.Limits.MemoryMiB; memoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryMiB * tuning.MemoryTargetShare * (1 << 20)))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c, err := controller.New(settings, config.Watch(files.properties, settings, operatorSettings), clockwork.NewRealClock(), log)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func checkCommand() *cobra.Command {
	var files settingsFiles
	command := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, _, err := files.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: good settings for member %s with %d others and %d teams\n",
				files.config, settings.Member, len(settings.Members), len(settings.Cluster.Teams))
			return err
		},
	}
	files.addFlags(command)
	return command
}
