/** The bench `ledger`: what the request cores cost. */

import { measureEntryKill } from "@dandelionbank/soak";
import { atLeast, atMost, type Bench, unbounded } from "../bench.ts";
import { measureKeyBytes } from "./key_bytes.ts";
import { measureMapOnly, measureThroughput } from "./throughput.ts";
import { measureTakeover } from "./takeover.ts";

const MIN_REQUESTS_PER_SECOND = 50_000;
const MAX_BYTES_PER_KEY = 200;
const MAX_TAKEOVER_MS = 2_000;
const AGENTS = 1_700;
const ASKS_AT_A_TIME = 256;
const MIN_ANSWERED_PERCENT = 99.9;
const CALLS = 6_000;

export const LEDGER_BENCH: Bench = { name: "ledger", run };

function run(options: { readonly seed: number }) {
  const throughput = measureThroughput();
  const mapOnly = measureMapOnly();
  const keyBytes = measureKeyBytes();
  const takeover = measureTakeover({
    ...options,
    agents: AGENTS,
    maxAsks: ASKS_AT_A_TIME,
  });
  const slow = measureTakeover({ ...options, agents: AGENTS, maxAsks: 8 });
  const kill = measureEntryKill({ ...options, calls: CALLS });
  if (kill.violations.length > 0) throw new Error(kill.violations[0]);
  return Promise.resolve({
    figures: [
      atLeast({
        name: "keyedRequestsPerSecond",
        value: throughput,
        unit: "requests/s",
      }, MIN_REQUESTS_PER_SECOND),
      atMost({
        name: "agentTableBytesPerKey",
        value: keyBytes,
        unit: "bytes",
      }, MAX_BYTES_PER_KEY),
      atMost({
        name: "takeoverVirtualMs",
        value: takeover.decidedMs,
        unit: "ms",
      }, MAX_TAKEOVER_MS),
      unbounded({
        name: "takeoverMessages",
        value: takeover.messages,
        unit: "messages",
      }),
      unbounded({
        name: "takeoverBytes",
        value: takeover.bytes,
        unit: "bytes",
      }),
      unbounded({
        name: "takeoverHeldKeys",
        value: takeover.heldKeys,
        unit: "keys",
      }),
      atLeast({
        name: "answeredBesideKilledEntryPercent",
        value: kill.answeredElsewherePercent,
        unit: "%",
      }, MIN_ANSWERED_PERCENT),
      unbounded({
        name: "unknownAfterEntryKillPercent",
        value: kill.unknownPercent,
        unit: "%",
      }),
      unbounded({
        name: "unansweredAfterEntryKillPercent",
        value: kill.unansweredPercent,
        unit: "%",
      }),
    ],
    baselines: {
      mapLookupRequestsPerSecond: Math.round(mapOnly),
      takeoverEightAsksAtATimeVirtualMs: slow.decidedMs,
    },
  });
}
