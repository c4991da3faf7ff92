import { test } from "node:test";
import {
  type Case,
  changeFaults,
  checkCase,
  CREATE,
  create,
  REJECTING_RATE,
  remove,
  STOP,
  UPDATE,
  write,
} from "./client_fixture.ts";

const WRITES: readonly Case[] = [
  { name: "A write", call: write, expected: "written", effects: 1 },
  { name: "A creation", call: create, expected: "written", effects: 1 },
  {
    name: "A write on an old revision",
    call: (client) =>
      client.put(STOP, "new", { ...UPDATE, expectedRevision: 7 }),
    expected: "conflict",
    effects: 0,
  },
  {
    name: "A creation of an existing object",
    call: (client) => client.put(STOP, "new", CREATE),
    expected: "conflict",
    effects: 0,
  },
  {
    name: "A write whose answer is lost",
    faults: { dropAnswer: true },
    call: write,
    expected: "written",
    effects: 1,
  },
  {
    name: "A creation whose answer is lost",
    faults: { dropAnswer: true },
    call: create,
    expected: "written",
    effects: 1,
  },
  {
    name: "A write whose answer is lost, with stale reads",
    faults: { dropAnswer: true, staleReads: true },
    beforeRetry: changeFaults({ dropAnswer: false }),
    call: write,
    expected: "written",
    effects: 1,
  },
  {
    name: "A write whose answer is lost, and another write before the retry",
    faults: { dropAnswer: true, staleReads: true },
    beforeRetry: (platform) => {
      platform.changeSettings({ dropAnswer: false });
      platform.seed(STOP, "another's");
    },
    call: write,
    expected: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 2,
  },
  {
    name: "A write whose answer is malformed",
    faults: { garbleAnswer: true },
    beforeRetry: changeFaults({ garbleAnswer: false }),
    call: write,
    expected: "written",
    effects: 1,
  },
  {
    name: "A write that takes effect but is never answered",
    faults: { silent: true },
    call: write,
    expected: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 1,
  },
  {
    name: "A write that takes effect after the last attempt timed out",
    faults: { delayMs: 300 },
    call: write,
    expected: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 1,
  },
  {
    name: "A delayed write whose retry is answered",
    faults: { delayMs: 300 },
    beforeRetry: changeFaults({ delayMs: 0 }),
    call: write,
    expected: "written",
    effects: 1,
  },
  {
    name: "A write during an outage",
    faults: { outage: true },
    call: write,
    expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    effects: 0,
  },
  {
    name: "A write above the rate limit",
    faults: { writesPerSecond: REJECTING_RATE },
    call: write,
    expected: "DANDELIONBANK_PLATFORM_RATE_LIMITED",
    effects: 0,
  },
  {
    name: "A write that is rate-limited at first",
    faults: { writesPerSecond: REJECTING_RATE },
    timeoutMs: 2000,
    beforeRetry: changeFaults({ writesPerSecond: 0 }),
    call: write,
    expected: "written",
    effects: 1,
  },
  {
    name: "A value above the size limit",
    call: (client) => client.put(STOP, "x".repeat(1_000_001), UPDATE),
    expected: "DANDELIONBANK_PLATFORM_REFUSED",
    effects: 0,
  },
  { name: "A deletion", call: remove, expected: "deleted", effects: 1 },
  {
    name: "A deletion on an old revision",
    call: (client) => client.delete(STOP, 7),
    expected: "conflict",
    effects: 0,
  },
  {
    name: "A deletion whose answer is lost",
    faults: { dropAnswer: true },
    call: remove,
    expected: "deleted",
    effects: 1,
  },
  {
    name: "A deletion whose answer is lost, with stale reads",
    faults: { dropAnswer: true, staleReads: true },
    beforeRetry: changeFaults({ dropAnswer: false, staleReads: false }),
    call: remove,
    expected: "deleted",
    effects: 1,
  },
  {
    name: "A deletion whose answer is lost, and the object created again",
    faults: { dropAnswer: true, staleReads: true },
    beforeRetry: (platform) => {
      platform.changeSettings({ dropAnswer: false, staleReads: false });
      platform.seed(STOP, "another's");
    },
    call: remove,
    expected: "DANDELIONBANK_WRITE_UNSETTLED",
    effects: 2,
  },
  {
    name: "A deletion during an outage",
    faults: { outage: true },
    call: remove,
    expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    effects: 0,
  },
];

for (const row of WRITES) {
  test(`${row.name} (${row.call.name}) results in ${row.expected}`, (context) =>
    checkCase(context, row));
}
