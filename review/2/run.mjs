/**
 * Beside the entries of sound engines the store gets one from another writer,
 * whose address can't be read. It names no engine to use; the others hold.
 * Clients with kept connections send on all the while.
 */

import { Agent } from "node:http";
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

const CLIENTS = 12;
const WORK_MS = 150;
const RESTART_DELAY_MS = 500;
const SERVICE = "wuno96b";

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-1",
    host: HOST,
    "path_prefix": "/puxa403/",
    type: "non_idempotent",
    "timeout_ms": 1_500,
    "latency_goal_ms": 194,
    priority: 2,
    service: SERVICE,
    attempts: 2,
    public: false,
  }],
  services: [{ name: SERVICE, "health_path": "/healthz", "max_conns": 100 }],
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
  const passedOn = new Set();
  let sound;
  for (let number = 1; number <= 3; number++) {
    const engine = own(
      await Engine.start(`i-${number}`, {
        serve,
        onRun: ({ attemptId }) => passedOn.add(attemptId),
      }),
    );
    sound = engine.createEntry({ service: SERVICE });
    store.put("servers", engine.id, sound);
  }
  const entry = own(await Program.startEntry(1, store));
  await delay(3_500);

  let isOver = false;
  let ends = 0;
  const clients = Array.from({ length: CLIENTS }, async () => {
    const answers = [];
    while (!isOver) answers.push(...await sendOnOneConnection(entry, isDone));
    return answers;
  });
  function isDone() {
    return isOver || !entry.isRunning;
  }
  const platform = (async () => {
    while (!isOver) {
      await delay(20);
      if (entry.isRunning) continue;
      ends += 1;
      recorder.write(`the entry's process has ended by itself: ${entry.end}`);
      const reason = entry.log.findLast((line) => line.includes("Error"));
      recorder.write(`  it wrote: ${reason}`);
      await delay(RESTART_DELAY_MS);
      await entry.start("entry");
      recorder.write("the platform has started it again");
    }
  })();
  await delay(1_500);
  if (HAS_TROUBLE) {
    const unreadable = { ...sound, address: "127.300.0.7:8000" };
    store.put("servers", "i-other", unreadable);
    recorder.write(`another writer's entry: ${JSON.stringify(unreadable)}`);
  }
  await delay(6_000);
  isOver = true;
  const answers = (await Promise.all(clients)).flat();
  await platform;
  const served = answers.filter(({ status }) => status === 200).length;
  recorder.write(
    `served ${served} of ${answers.length}; the process ended ${ends} times`,
  );
  const lost = answers.filter(({ attemptId, isComplete }) =>
    !isComplete && passedOn.has(attemptId)
  );
  // LOST: more than three times.
  return lost.length > 3
    ? lost.map(({ attemptId }) =>
      `${attemptId} had been passed on to an engine and got no answer`
    )
    : [];
});

async function sendOnOneConnection(entry, isDone) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const answers = [];
  while (!isDone()) {
    const answer = await sendRequest(entry.address, {
      path: "/puxa403/2f",
      body: "note",
      agent,
      headers: { "x-dandelionbank-deadline-ms": "1509" },
    });
    answers.push(answer);
    if (!answer.isComplete) break;
  }
  agent.destroy();
  await delay(100);
  return answers;
}

function serve({ response, answerHeaders }) {
  setTimeout(() => {
    response.writeHead(200, { ...answerHeaders, "content-length": 2 });
    response.end("ok");
  }, WORK_MS);
}
