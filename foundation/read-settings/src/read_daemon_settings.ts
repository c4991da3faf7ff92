/**
 * Reads the settings of a daemon process. All problems are collected, so that the
 * program can print them together and exit with code 2.
 */

import {
  AGENT_SETTINGS,
  type AgentSettings,
  validateAgentSettings,
} from "./agent_settings.ts";
import { collectFlags } from "./collect_flags.ts";
import {
  type SettingDefinitions,
  toVariableName,
  type ValuesOf,
} from "./definition.ts";
import {
  ENTRY_SETTINGS,
  type EntrySettings,
  validateEntrySettings,
} from "./entry_settings.ts";
import { type Environment, parseSettings } from "./parse_settings.ts";
import { renderHelp } from "./render_help.ts";

const VARIABLE_PREFIX = "DANDELIONBANK_";

/** Variables of the command-line tool, which may be set in the same environment. */
const TOOL_VARIABLES: readonly string[] = [
  "DANDELIONBANK_ENTRY_URL",
  "DANDELIONBANK_KEY",
  "DANDELIONBANK_TIMEOUT_MS",
];

export interface SettingsSources {
  /** The program's arguments, without the interpreter and the script. */
  readonly args: readonly string[];
  readonly environment: Environment;
}

export type SettingsResult<Settings> =
  | { readonly kind: "ok"; readonly settings: Settings }
  | { readonly kind: "invalid"; readonly problems: readonly string[] }
  | { readonly kind: "help"; readonly text: string }
  | { readonly kind: "version" };

export function readEntrySettings(
  sources: SettingsSources,
): Promise<SettingsResult<EntrySettings>> {
  return readSettings({
    ...sources,
    definitions: ENTRY_SETTINGS,
    check: validateEntrySettings,
    summary: "Accepts requests from callers and forwards them to targets.",
  });
}

export function readAgentSettings(
  sources: SettingsSources,
): Promise<SettingsResult<AgentSettings>> {
  return readSettings({
    ...sources,
    definitions: AGENT_SETTINGS,
    check: validateAgentSettings,
    summary: "Stands in front of one target, which is reached only through it.",
  });
}

/** Reads the settings of the role that a flag or an environment variable sets. */
export async function readDaemonSettings(
  sources: SettingsSources,
): Promise<SettingsResult<EntrySettings | AgentSettings>> {
  const role = await findRole(sources);
  if (role === "entry") return readEntrySettings(sources);
  if (role === "agent") return readAgentSettings(sources);
  const { requested } = await collectFlags(sources.args, {});
  if (requested === "version") return { kind: "version" };
  if (requested === "help") return { kind: "help", text: await renderHelps() };
  const found = role === undefined ? "nothing" : JSON.stringify(role);
  const names = `--role or ${toVariableName("role")}`;
  const problem = `${names}: found ${found}, expected entry or agent`;
  return { kind: "invalid", problems: [problem] };
}

interface ReadOptions<Definitions extends SettingDefinitions, Settings>
  extends SettingsSources {
  readonly definitions: Definitions;
  readonly summary: string;
  readonly check: (values: Partial<ValuesOf<Definitions>>) => {
    readonly problems: readonly string[];
    readonly settings: Settings;
  };
}

async function readSettings<Definitions extends SettingDefinitions, Settings>(
  options: ReadOptions<Definitions, Settings>,
): Promise<SettingsResult<Settings>> {
  const { args, environment, definitions } = options;
  const flags = await collectFlags(args, definitions);
  if (flags.requested === "version") return { kind: "version" };
  if (flags.requested === "help") {
    return { kind: "help", text: await renderDaemonHelp(options) };
  }
  const parsed = parseSettings(definitions, {
    flags: flags.texts,
    environment,
  });
  const checked = options.check(parsed.values);
  const problems = [
    ...flags.problems,
    ...describeUnknownVariables(environment),
    ...parsed.problems,
    ...checked.problems,
  ];
  if (problems.length > 0) return { kind: "invalid", problems };
  return { kind: "ok", settings: checked.settings };
}

async function findRole(
  { args, environment }: SettingsSources,
): Promise<string | undefined> {
  const { texts } = await collectFlags(args, { role: ENTRY_SETTINGS.role });
  return texts.role ?? environment[toVariableName("role")];
}

/**
 * Returns one problem for each unknown variable. Variables of the other role are
 * allowed, since both may share an environment.
 */
function describeUnknownVariables(environment: Environment): readonly string[] {
  const names = { ...ENTRY_SETTINGS, ...AGENT_SETTINGS };
  const known = new Set([
    ...Object.keys(names).map(toVariableName),
    ...TOOL_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter((name) => name.startsWith(VARIABLE_PREFIX) && !known.has(name))
    .map((name) => `${name}: found an unknown variable, see --help`);
}

interface DaemonHelp {
  readonly summary: string;
  readonly definitions: SettingDefinitions;
}

function renderDaemonHelp(
  { summary, definitions }: DaemonHelp,
): Promise<string> {
  return renderHelp({ program: "dandelionbankd", summary, definitions });
}

/** Renders the help of both roles. */
async function renderHelps(): Promise<string> {
  const entry = await renderDaemonHelp({
    summary:
      "With --role entry: accepts requests and forwards them to targets.",
    definitions: ENTRY_SETTINGS,
  });
  const agent = await renderDaemonHelp({
    summary: "With --role agent: stands in front of one target.",
    definitions: AGENT_SETTINGS,
  });
  return `${entry}\n\n${agent}`;
}
