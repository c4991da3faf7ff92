/** Runs one scenario of the exhaustive check and prints the result as JSON. */

import { parseArgs } from "node:util";
import { checkGroupSwitch, type GroupCheckOptions } from "./explore_group.ts";
import { checkSwitch } from "./scenarios.ts";
import type { CheckOptions, ScenarioName } from "./scenarios.ts";

const SCENARIOS: readonly ScenarioName[] = ["handOver", "rivals", "promised"];
/** Explores `switch-group`; the others explore `switch-map`. */
const GROUP_SCENARIO = "group";

function main(): number {
  const { values } = parseArgs({
    options: {
      scenario: { type: "string", default: "handOver" },
      replacements: { type: "string", default: "1" },
      changes: { type: "string", default: "0" },
      ranks: { type: "string", default: "2" },
      faults: { type: "string", default: "2" },
      silence: { type: "string", default: "agent" },
      "max-states": { type: "string", default: "2000000" },
    },
  });
  const { silence } = values;
  const scenario = SCENARIOS.find((name) => name === values.scenario);
  const isGroup = values.scenario === GROUP_SCENARIO;
  const [replacements, changes, ranks, faults, maxStates] = [
    values.replacements,
    values.changes,
    values.ranks,
    values.faults,
    values["max-states"],
  ].map(Number) as [number, number, number, number, number];
  const counts = [replacements, changes, ranks, faults, maxStates];
  const isSilence = silence === "agent" || silence === "vm";
  const isKnown = scenario !== undefined || isGroup;
  if (!isKnown || !isSilence || !counts.every(Number.isSafeInteger)) {
    console.error(
      `--scenario must be one of ${[...SCENARIOS, GROUP_SCENARIO]}, ` +
        "--silence agent or vm; the other options take integers",
    );
    return 2;
  }
  const startedMs = performance.now();
  const { options, result } = scenario === undefined
    ? runGroupCheck({ ranks, faults, silence, maxStates })
    : runCheck({ scenario, replacements, changes, maxStates });
  const elapsedMs = Math.round(performance.now() - startedMs);
  console.log(JSON.stringify({ ...options, ...result, elapsedMs }));
  return result.violation === undefined ? 0 : 1;
}

function runCheck(options: CheckOptions) {
  return { options, result: checkSwitch(options) };
}

function runGroupCheck(
  common: Omit<
    GroupCheckOptions,
    "coordinators" | "lastStep" | "livenessInterval"
  >,
) {
  const livenessInterval = 1;
  const options = { ...common, coordinators: 2, lastStep: 3, livenessInterval };
  return { options, result: checkGroupSwitch(options) };
}

process.exitCode = main();
