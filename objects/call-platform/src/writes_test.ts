import { test } from "node:test";
import {
  type Case,
  checkCase,
  CREATE,
  create,
  heal,
  MINE,
  NEVER_PER_SECOND,
  remove,
  STOP,
  write,
} from "./client_fixture.ts";

const WRITES: readonly Case[] = [
  { name: "A write", call: write, ends: "written", effects: 1 },
  { name: "A first write", call: create, ends: "written", effects: 1 },
  {
    name: "A write on an old revision",
    call: (client) => client.put(STOP, "new", { ...MINE, expectedRevision: 7 }),
    ends: "conflict",
    effects: 0,
  },
  {
    name: "A first write of a known name",
    call: (client) => client.put(STOP, "new", CREATE),
    ends: "conflict",
    effects: 0,
  },
  {
    name: "A write whose answer is lost",
    faults: { dropAnswer: true },
    call: write,
    ends: "written",
    effects: 1,
  },
  {
    name: "A first write whose answer is lost",
    faults: { dropAnswer: true },
    call: create,
    ends: "written",
    effects: 1,
  },
  {
    name: "A lost answer, and reads that show an older state",
    faults: { dropAnswer: true, staleReads: true },
    meanwhile: heal({ dropAnswer: false }),
    call: write,
    ends: "written",
    effects: 1,
  },
  {
    name: "A lost answer, and another's write before the next attempt",
    faults: { dropAnswer: true, staleReads: true },
    meanwhile: (platform) => {
      platform.change({ dropAnswer: false });
      platform.seed(STOP, "another's");
    },
    call: write,
    ends: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 2,
  },
  {
    name: "A malformed answer",
    faults: { garbleAnswer: true },
    meanwhile: heal({ garbleAnswer: false }),
    call: write,
    ends: "written",
    effects: 1,
  },
  {
    name: "A platform that takes writes and never answers",
    faults: { silent: true },
    call: write,
    ends: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 1,
  },
  {
    name: "Writes that take effect after the client gave up",
    faults: { delayMs: 300 },
    call: write,
    ends: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 1,
  },
  {
    name: "A late write, settled by its repeat",
    faults: { delayMs: 300 },
    meanwhile: heal({ delayMs: 0 }),
    call: write,
    ends: "written",
    effects: 1,
  },
  {
    name: "A write in an outage",
    faults: { outage: true },
    call: write,
    ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    effects: 0,
  },
  {
    name: "A write beyond the rate",
    faults: { writesPerSecond: NEVER_PER_SECOND },
    call: write,
    ends: "DANDELIONBANK_PLATFORM_RATE_LIMITED",
    effects: 0,
  },
  {
    name: "A write refused for rate at first",
    faults: { writesPerSecond: NEVER_PER_SECOND },
    timeoutMs: 2000,
    meanwhile: heal({ writesPerSecond: 0 }),
    call: write,
    ends: "written",
    effects: 1,
  },
  {
    name: "A value beyond the limit",
    call: (client) => client.put(STOP, "x".repeat(1_000_001), MINE),
    ends: "DANDELIONBANK_PLATFORM_REFUSED",
    effects: 0,
  },
  { name: "A deletion", call: remove, ends: "deleted", effects: 1 },
  {
    name: "A deletion on an old revision",
    call: (client) => client.delete(STOP, 7),
    ends: "conflict",
    effects: 0,
  },
  {
    name: "A deletion whose answer is lost",
    faults: { dropAnswer: true },
    call: remove,
    ends: "deleted",
    effects: 1,
  },
  {
    name: "A deletion whose answer is lost, and reads of an older state",
    faults: { dropAnswer: true, staleReads: true },
    meanwhile: heal({ dropAnswer: false, staleReads: false }),
    call: remove,
    ends: "deleted",
    effects: 1,
  },
  {
    name: "A deletion whose answer is lost, and the name made again",
    faults: { dropAnswer: true, staleReads: true },
    meanwhile: (platform) => {
      platform.change({ dropAnswer: false, staleReads: false });
      platform.seed(STOP, "another's");
    },
    call: remove,
    ends: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 2,
  },
  {
    name: "A deletion in an outage",
    faults: { outage: true },
    call: remove,
    ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    effects: 0,
  },
];

for (const row of WRITES) {
  test(`${row.name} (${row.call.name}) ends in ${row.ends}`, (context) =>
    checkCase(context, row));
}
