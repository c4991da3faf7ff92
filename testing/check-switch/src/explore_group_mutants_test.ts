/**
 * Each safeguard of a switch is taken out once; the exploration has to find that
 * a pass can begin with two maps.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { checkGroupSwitch } from "./explore_group.ts";
import type { GroupMutation } from "./group_switch_model.ts";

const OPTIONS = {
  ranks: 2,
  coordinators: 2,
  lastStep: 3,
  maxStates: 100_000,
  livenessInterval: Number.POSITIVE_INFINITY,
} as const;

interface Mutant {
  readonly name: string;
  readonly silence: "agent" | "vm";
  readonly faults: number;
  readonly mutation: GroupMutation;
}

const MUTANTS: readonly Mutant[] = [
  {
    name: "releases a pass before every rank is superseded",
    silence: "agent",
    faults: 2,
    mutation: {
      changeReports: (reports, phase) =>
        phase.name !== "reverting" ? reports : reports.map((report) => ({
          ...report,
          preparedVersion: phase.version,
        })),
    },
  },
  {
    name: "releases a pass before every rank is armed",
    silence: "agent",
    faults: 1,
    mutation: {
      changeReports: (reports, phase) =>
        phase.name !== "arming" ? reports : reports.map((report) => ({
          ...report,
          armedVersion: phase.version,
        })),
    },
  },
  {
    name: "disarms a rank while every rank can be armed",
    silence: "agent",
    faults: 2,
    mutation: {
      acceptsOldTerms: true,
      changeReports: (reports, phase) =>
        phase.name !== "reverting"
          ? reports
          : reports.map((report) =>
            report.armedVersion === 0
              ? { ...report, preparedVersion: phase.version }
              : report
          ),
    },
  },
  {
    name: "forgets an order to arm that a rank may carry out late",
    silence: "vm",
    faults: 2,
    mutation: { forgetsOrders: true },
  },
];

for (const { name, ...options } of MUTANTS) {
  test(`The exploration finds a coordinator that ${name}`, () => {
    const { violation } = checkGroupSwitch({ ...OPTIONS, ...options });
    assert.match(violation?.detail ?? "none found", /pass 3 with maps/);
  });
}
