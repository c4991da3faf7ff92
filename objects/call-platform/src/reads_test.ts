import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Case,
  checkCase,
  connect,
  get,
  heal,
  list,
  listVms,
  nameError,
  NEVER_PER_SECOND,
} from "./client_fixture.ts";

const READS: readonly Case[] = [
  { name: "A read", call: get, ends: "old" },
  {
    name: "A read of a name not in use",
    call: (client) => client.get("stop", "engine-2"),
    ends: "undefined",
  },
  ...[get, list, listVms].flatMap((call): readonly Case[] => [
    {
      name: "An outage",
      faults: { outage: true },
      call,
      ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "Silence",
      faults: { silent: true },
      call,
      ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "Malformed JSON",
      faults: { garbleAnswer: true },
      call,
      ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
    },
    {
      name: "Reads beyond the rate",
      faults: { readsPerSecond: NEVER_PER_SECOND },
      call,
      ends: "DANDELIONBANK_PLATFORM_RATE_LIMITED",
    },
  ]),
  {
    name: "A read refused for rate at first",
    faults: { readsPerSecond: NEVER_PER_SECOND },
    timeoutMs: 2000,
    meanwhile: heal({ readsPerSecond: 0 }),
    call: get,
    ends: "old",
  },
];

for (const row of READS) {
  test(`${row.name} (${row.call.name}) ends in ${row.ends}`, (context) =>
    checkCase(context, row));
}

const VM = { name: "vm-1", address: "10.0.0.1", dataCentre: "a" } as const;

const VM_LISTS = [
  { name: "late", lagMs: 60_000, state: "live", ends: "0" },
  { name: "in time", lagMs: 0, state: "leaving", ends: "1" },
  {
    name: "malformed",
    lagMs: 0,
    state: "gone",
    ends: "DANDELIONBANK_PLATFORM_UNREACHABLE",
  },
];

for (const { name, lagMs, state, ends } of VM_LISTS) {
  test(`A list of VMs that is ${name} ends in ${ends}`, async (context) => {
    const { platform, client } = await connect(context, { faults: { lagMs } });
    platform.setVms([{ ...VM, state: state as "live" }]);
    const ended = await listVms(client).then(
      (vms) => String(vms.length),
      nameError,
    );
    assert.equal(ended, ends);
  });
}
