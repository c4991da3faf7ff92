import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Case,
  changeFaults,
  checkCase,
  connect,
  get,
  getErrorCode,
  list,
  listVms,
  REJECTING_RATE,
} from "./client_fixture.ts";

const READS: readonly Case[] = [
  { name: "A read", call: get, expected: "old" },
  {
    name: "A read of a missing object",
    call: (client) => client.get("stop", "engine-2"),
    expected: "undefined",
  },
  ...[get, list, listVms].flatMap((call): readonly Case[] => [
    {
      name: "An outage",
      faults: { outage: true },
      call,
      expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "A platform that does not answer",
      faults: { silent: true },
      call,
      expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "Malformed JSON",
      faults: { garbleAnswer: true },
      call,
      expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "Reads above the rate limit",
      faults: { readsPerSecond: REJECTING_RATE },
      call,
      expected: "DANDELIONBANK_PLATFORM_RATE_LIMITED",
    },
  ]),
  {
    name: "A read that is rate-limited at first",
    faults: { readsPerSecond: REJECTING_RATE },
    timeoutMs: 2000,
    beforeRetry: changeFaults({ readsPerSecond: 0 }),
    call: get,
    expected: "old",
  },
];

for (const row of READS) {
  test(`${row.name} (${row.call.name}) results in ${row.expected}`, (context) =>
    checkCase(context, row));
}

const VM = { name: "vm-1", address: "10.0.0.1", dataCentre: "a" } as const;

const VM_LISTS = [
  { name: "not yet updated", lagMs: 60_000, state: "live", expected: "0" },
  { name: "current", lagMs: 0, state: "leaving", expected: "1" },
  {
    name: "malformed",
    lagMs: 0,
    state: "gone",
    expected: "DANDELIONBANK_PLATFORM_UNREACHABLE",
  },
];

for (const { name, lagMs, state, expected } of VM_LISTS) {
  test(`A list of VMs that is ${name} results in ${expected}`, async (context) => {
    const { platform, client } = await connect(context, { faults: { lagMs } });
    platform.setVms([{ ...VM, state: state as "live" }]);
    const actual = await listVms(client).then(
      (vms) => String(vms.length),
      getErrorCode,
    );
    assert.equal(actual, expected);
  });
}
