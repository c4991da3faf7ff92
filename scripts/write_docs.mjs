/**
 * Writes `docs/events.md` and `docs/configuration.md` from the catalogues in
 * the compiled code. `--check` writes nothing and fails on a difference.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { LOG_EVENTS } from "../foundation/log-events/dist/mod.js";
import {
  AGENT_SETTINGS,
  ENTRY_SETTINGS,
  toFlagName,
  toVariableName,
} from "../foundation/read-settings/dist/mod.js";
import { TOOL_SETTINGS } from "../cli/dandelionbank/dist/mod.js";
import {
  DEFAULT_CONFIG,
  FIELD_HELP,
  parseValue,
} from "../objects/parse-objects/dist/mod.js";
import { renderTable } from "./markdown_table.mjs";
import { ROOT } from "./workspace.mjs";

const EVENTS_PER_DOMAIN = 1_000;
const DOMAINS = [
  [1, "Any process"],
  [2, "Entry"],
  [3, "Agent"],
  [4, "Platform"],
  [5, "Expert maps and duties"],
  [6, "Limits and configuration"],
  [7, "Requests' keys"],
  [8, "Operators' calls"],
  [9, "Keys and certificates"],
  [10, "Entry on the platform"],
  [11, "Agent beside a rank"],
];
const KINDS = [
  ["contract", "Contract"],
  ["config", "Configuration"],
  ["stop", "Planned stop"],
  ["operator", "Operator"],
];

const check = process.argv.includes("--check");
const pages = [
  ["docs/events.md", renderEvents()],
  ["docs/configuration.md", renderConfiguration()],
];
const stale = pages.filter(([path, text]) => readPage(path) !== text);
for (const [path, text] of stale) {
  if (check) console.error(`${path}: run npm run docs`);
  else writeFileSync(join(ROOT, path), text);
}
if (check && stale.length > 0) process.exit(1);
console.log(`Docs: ${pages.length} pages in order`);

function readPage(path) {
  try {
    return readFileSync(join(ROOT, path), "utf8");
  } catch {
    return undefined;
  }
}

function renderEvents() {
  const events = Object.entries(LOG_EVENTS);
  const sections = DOMAINS.map(([number, title]) => {
    const rows = events
      .filter(([, event]) =>
        Math.floor(event.id / EVENTS_PER_DOMAIN) === number
      )
      .sort(([, one], [, other]) => one.id - other.id)
      .map(([name, { id, level, text, help }]) => [
        id,
        `\`${name}\``,
        level,
        `\`${text}\``,
        help,
      ]);
    return renderSection(title, ["id", "name", "level", "text", "help"], rows);
  });
  checkDomains(events);
  return renderPage("Log events", [
    "Written by `npm run docs` from `foundation/log-events`. On a terminal a line",
    "shows number and text; elsewhere a line is a JSON object with `time`, `id`,",
    "`name`, `level`, `text` and `fields`. A number is never used again.",
  ], sections);
}

/** An event outside every domain would be missing from the page. */
function checkDomains(events) {
  const numbers = new Set(DOMAINS.map(([number]) => number));
  for (const [name, { id }] of events) {
    if (numbers.has(Math.floor(id / EVENTS_PER_DOMAIN))) continue;
    throw new Error(`Event ${name} has number ${id} outside every domain`);
  }
}

function renderConfiguration() {
  const settings = [
    ["Settings of an entry", ENTRY_SETTINGS],
    ["Settings of an agent", AGENT_SETTINGS],
    ["Settings of the command-line tool", TOOL_SETTINGS],
  ];
  return renderPage("Configuration", [
    "Written by `npm run docs` from the code's own definitions. Settings belong to",
    "one process and are read once, when it starts: a flag wins over its variable,",
    "and all that is wrong is told at once, with exit code 2. Objects belong to the",
    "whole system; operators write them through `dandelionbank`, and every process",
    "follows them.",
  ], [
    ...settings.map(([title, definitions]) =>
      renderSection(
        title,
        ["flag", "variable", "default", "meaning"],
        Object.entries(definitions).map(describeSetting),
      )
    ),
    ...KINDS.map(([kind, title]) =>
      renderSection(
        `Object: ${title}`,
        ["field", "expected", "default", "meaning"],
        Object.entries(FIELD_HELP[kind]).map(([field, help]) => [
          `\`${field}\``,
          expectedOf(kind, field),
          kind === "config"
            ? describeDefault(DEFAULT_CONFIG[field])
            : "required",
          help,
        ]),
      )
    ),
  ]);
}

function describeSetting([name, { presence, defaultText, unit, help }]) {
  const shown = unit ? `${defaultText} ${unit}` : defaultText;
  return [
    `\`--${toFlagName(name)}\``,
    `\`${toVariableName(name)}\``,
    defaultText === undefined ? presence : `\`${shown}\``,
    help,
  ];
}

/** What the schema says when it refuses a value that no field takes. */
function expectedOf(kind, field) {
  const { problems } = parseValue(kind, { [field]: null });
  const problem = problems.find((line) => line.startsWith(`${field}: `));
  return problem.replace(/^.*, expected /, "");
}

function describeDefault(value) {
  return `\`${JSON.stringify(value)}\``;
}

function renderSection(title, titles, rows) {
  return `## ${title}\n\n${renderTable(titles, rows)}`;
}

function renderPage(title, lines, sections) {
  return [`# ${title}`, lines.join("\n"), ...sections].join("\n\n") + "\n";
}
