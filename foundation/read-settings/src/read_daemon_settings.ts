/**
 * Reads the settings of a daemon process. All problems come at once, so that
 * the program can print them and exit with code 2.
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

const PREFIX = "DANDELIONBANK_";

/** Variables of the command-line tool, which may share an environment. */
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
    summary: "Takes requests from callers and passes them to targets.",
  });
}

export function readAgentSettings(
  sources: SettingsSources,
): Promise<SettingsResult<AgentSettings>> {
  return readSettings({
    ...sources,
    definitions: AGENT_SETTINGS,
    check: validateAgentSettings,
    summary: "Stands before one target and is the only way to it.",
  });
}

/** Reads the settings of the role that flags or variables name. */
export async function readDaemonSettings(
  sources: SettingsSources,
): Promise<SettingsResult<EntrySettings | AgentSettings>> {
  const role = await findRole(sources);
  if (role === "entry") return readEntrySettings(sources);
  if (role === "agent") return readAgentSettings(sources);
  const { wants } = await collectFlags(sources.args, {});
  if (wants === "version") return { kind: "version" };
  if (wants === "help") return { kind: "help", text: await renderBothHelps() };
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
  if (flags.wants === "version") return { kind: "version" };
  if (flags.wants === "help") {
    return { kind: "help", text: await renderDaemonHelp(options) };
  }
  const parsed = parseSettings(definitions, {
    flags: flags.texts,
    environment,
  });
  const checked = options.check(parsed.values);
  const problems = [
    ...flags.problems,
    ...findUnknownVariables(environment),
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

/** A variable of the other role may stand in an environment that both share. */
function findUnknownVariables(environment: Environment): readonly string[] {
  const names = { ...ENTRY_SETTINGS, ...AGENT_SETTINGS };
  const known = new Set([
    ...Object.keys(names).map(toVariableName),
    ...TOOL_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter((name) => name.startsWith(PREFIX) && !known.has(name))
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

async function renderBothHelps(): Promise<string> {
  const entry = await renderDaemonHelp({
    summary: "With --role entry: takes requests and passes them to targets.",
    definitions: ENTRY_SETTINGS,
  });
  const agent = await renderDaemonHelp({
    summary: "With --role agent: stands before one target.",
    definitions: AGENT_SETTINGS,
  });
  return `${entry}\n\n${agent}`;
}
