/** Cost of the state machines that track requests, keys and takeovers. */

import { measureEntryKill } from "@dandelionbank/soak";
import { atLeast, atMost, type Bench, unbounded } from "../bench.ts";
import { measureKeyBytes } from "./key_bytes.ts";
import { measureMapInserts, measureThroughput } from "./throughput.ts";
import { measureTakeover } from "./takeover.ts";

const MIN_REQUESTS_PER_SECOND = 50_000;
const MAX_BYTES_PER_KEY = 200;
const MAX_TAKEOVER_MS = 2_000;
const AGENT_COUNT = 1_700;
const MAX_CONCURRENT_ASKS = 256;
const MIN_ANSWERED_PERCENT = 99.9;
const CALL_COUNT = 6_000;

export const LEDGER_BENCH: Bench = { name: "ledger", run };

function run(options: { readonly seed: number }) {
  const throughput = measureThroughput();
  const mapInserts = measureMapInserts();
  const keyBytes = measureKeyBytes();
  const takeover = measureTakeover({
    ...options,
    agents: AGENT_COUNT,
    maxConcurrentAsks: MAX_CONCURRENT_ASKS,
  });
  const fewAsksTakeover = measureTakeover({
    ...options,
    agents: AGENT_COUNT,
    maxConcurrentAsks: 8,
  });
  const entryKill = measureEntryKill({ ...options, calls: CALL_COUNT });
  if (entryKill.violations.length > 0) throw new Error(entryKill.violations[0]);
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
        value: takeover.completedMs,
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
        value: entryKill.answeredElsewherePercent,
        unit: "%",
      }, MIN_ANSWERED_PERCENT),
      unbounded({
        name: "unknownAfterEntryKillPercent",
        value: entryKill.unknownPercent,
        unit: "%",
      }),
      unbounded({
        name: "unansweredAfterEntryKillPercent",
        value: entryKill.unansweredPercent,
        unit: "%",
      }),
    ],
    baselines: {
      mapLookupRequestsPerSecond: Math.round(mapInserts),
      takeoverEightAsksAtATimeVirtualMs: fewAsksTakeover.completedMs,
    },
  });
}
