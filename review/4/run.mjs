/**
 * Planned stop of one of two entries. Clients that hold the directory's answer
 * for three times its `ttl_s` go on sending streams to the entry that stops. The
 * rule LOST allows an entry to give up only streams that were sent no later than
 * 3 s after its SIGTERM.
 */

import { setTimeout as delay } from "node:timers/promises";
import {
  Engine,
  HAS_TROUBLE,
  HOST,
  KEY,
  Program,
  runCase,
  sendRequest,
  Store,
} from "../lib/site.mjs";

const GRACE_MS = 8_000;
const LATEST_EXCUSED_MS = 3_000;
const DEADLINE_MS = 8_017;
/** Cached answers of the directory count three times as long at some clients. */
const CACHE_FACTOR = 3;
const SEND_INTERVAL_MS = 60;
/**
 * The longest stream of the site's sheet: 61 events of 4 tokens, at the pace of
 * a full batch of 8 (4.55 + 8 x 1.3575 ms a token).
 */
const EVENTS = 61;
const EVENT_GAP_MS = 64;
const ENGINES = 16;

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-1",
    host: HOST,
    "path_prefix": "/lohu930/",
    type: "streaming",
    "timeout_ms": 8_000,
    "latency_goal_ms": 501,
    priority: 1,
    service: "huvo11a",
    attempts: 2,
    public: false,
    sticky: true,
    resumable: false,
    "target_gap_ms": 120,
  }],
  services: [{
    name: "huvo11a",
    "health_path": "/healthz",
    "max_conns": 408,
    "engine_profile": {
      slots: 8,
      "kv_capacity": 186_666,
      stride: 4,
      "step_ms": 4.55,
      "per_seq_ms": 1.3575,
      "read_per_s": 61_400,
      chunk: 512,
      usual: { prompt: 835, answer: 97 },
    },
  }],
  limits: {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
  },
  tenants: [{ name: "hule930", "api_keys": [KEY], priority: 1 }],
};

await runCase(new URL(".", import.meta.url), async ({ recorder, own }) => {
  const store = own(await Store.start());
  store.put("config", "main", CONFIGURATION);
  for (let number = 1; number <= ENGINES; number++) {
    const engine = own(
      await Engine.start(`i-${number}`, {
        serve,
        onRun: ({ attemptId, engine }) =>
          recorder.write(`${attemptId} runs at ${engine}`),
      }),
    );
    const entry = engine.createEntry({ service: "huvo11a" });
    store.put("servers", engine.id, entry);
  }
  const entries = [
    own(await Program.startEntry(1, store)),
    own(await Program.startEntry(2, store)),
  ];
  await delay(2_000);

  const stopping = entries[0];
  const addresses = await entries[1].resolve();
  const resolvedAtMs = performance.now();
  recorder.write(`directory: ${addresses.join(", ")}`);
  if (!addresses.includes(stopping.address)) throw new Error("not listed");
  const cacheMs = 2_000 * CACHE_FACTOR;
  if (HAS_TROUBLE) stopping.signal("SIGTERM");
  const stopAtMs = performance.now();
  recorder.write(`SIGTERM to ${stopping.address}: ${HAS_TROUBLE}`);
  const kill = setTimeout(() => {
    if (HAS_TROUBLE) stopping.signal("SIGKILL");
  }, GRACE_MS);

  const requests = [];
  while (performance.now() - resolvedAtMs < cacheMs) {
    requests.push(sendStream(stopping.address, { recorder, stopAtMs }));
    await delay(SEND_INTERVAL_MS);
  }
  const answers = await Promise.all(requests);
  clearTimeout(kill);
  recorder.write(`the entry has ended with ${stopping.end}`);
  return answers.flatMap((answer) => judge(answer, stopAtMs));
});

/** Streams the whole answer at the pace of a full batch. */
function serve({ response, answerHeaders, run }) {
  response.writeHead(200, {
    ...answerHeaders,
    "content-type": "text/event-stream",
  });
  let id = 0;
  const timer = setInterval(() => {
    id += 1;
    response.write(`id: ${id}\ndata: tokens of ${run.attemptId}\n\n`);
    if (id < EVENTS) return;
    clearInterval(timer);
    response.end();
  }, EVENT_GAP_MS);
  response.on("close", () => clearInterval(timer));
}

async function sendStream(address, { recorder, stopAtMs }) {
  const answer = await sendRequest(address, {
    path: "/lohu930/2f",
    body: "prompt",
    headers: {
      "x-dandelionbank-model": "m",
      "x-dandelionbank-token-count": `674,${EVENTS * 4}`,
      "x-dandelionbank-deadline-ms": String(DEADLINE_MS),
    },
  });
  const { attemptId, status, isComplete, sentAtMs, endedAtMs } = answer;
  const events = countEvents(answer);
  const sentMs = Math.round(sentAtMs - stopAtMs);
  const lastedMs = Math.round(endedAtMs - sentAtMs);
  recorder.write(
    `${attemptId} sent ${sentMs} ms after SIGTERM: status ${status}, ` +
      `${events} events, ${isComplete ? "complete" : "cut off"} ` +
      `after ${lastedMs} ms`,
  );
  return answer;
}

function countEvents({ body }) {
  return String(body).split("\n\n").length - 1;
}

/**
 * LOST: the connection ends without a complete answer after the request was
 * passed on. A stream sent up to 3 s after SIGTERM is left out altogether.
 */
function judge(answer, stopAtMs) {
  const { attemptId, status, isComplete, sentAtMs, endedAtMs } = answer;
  const sentMs = sentAtMs - stopAtMs;
  const hasBegun = status === 200;
  const isTimedOut = endedAtMs - sentAtMs >= 8_000;
  const isLost = hasBegun && !isComplete && !isTimedOut &&
    sentMs > LATEST_EXCUSED_MS;
  if (!isLost) return [];
  return [
    `${attemptId}, sent ${Math.round(sentMs)} ms after SIGTERM, was cut off ` +
    `after ${countEvents(answer)} of ${EVENTS} events`,
  ];
}
