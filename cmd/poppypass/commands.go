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

// version is the release that this source becomes.
const version = "0.1.0"

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "poppypass",
		Short:         "A cluster scheduler that rents its machines",
		Long:          "poppypass takes jobs from users, rents machines from a cloud and runs the jobs'\ntasks on them. A few controllers run this same program; one of them leads.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), jobCommand(), ledgerCommand(), budgetCommand(), graphCommand())
	return root
}

type settingsFiles struct{ config, properties string }

func (f *settingsFiles) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.config, "config", "", "path of the settings file (TOML)")
	c.Flags().StringVar(&f.properties, "properties", "", "path of the operators' own settings (Java-style properties)")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag was defined two lines above
	}
}

func (f *settingsFiles) load() (*config.Settings, *config.OperatorSettings, error) {
	s, err := config.Load(f.config)
	if err != nil {
		return nil, nil, err
	}
	own, err := config.LoadProperties(f.properties)
	if err != nil {
		return nil, nil, err
	}
	return s, own, own.Check(s)
}

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
	var f settingsFiles
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a controller until it is killed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			s, own, err := f.load()
			if err != nil {
				return err
			}
			if mb := s.Cluster.Limits.RAMMB; mb > 0 {
				debug.SetMemoryLimit(int64(mb * tuning.MemoryShare * (1 << 20)))
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			c, err := controller.New(s, config.Watch(f.properties, s, own), clockwork.NewRealClock(), log)
			if err != nil {
				return err
			}
			return c.Run(ctx)
		},
	}
	f.flags(c)
	c.SetContext(context.Background())
	return c
}

func checkCommand() *cobra.Command {
	var f settingsFiles
	c := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check the settings without serving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, _, err := f.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: good settings for member %s with %d others and %d teams\n",
				f.config, s.Member, len(s.Members), len(s.Cluster.Teams))
			return err
		},
	}
	f.flags(c)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "poppypass", version)
			return err
		},
	}
}
