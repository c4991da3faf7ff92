import { callEntry } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { startSite } from "./mod.ts";

const CALLER_COUNT = 6;
const CALLS_PER_CALLER = 20;
const PREFIX = "answer to ";

test("A late second answer behind an agent reaches no caller", async (t) => {
  const site = await startSite(t, { entries: 1, ranks: 1 });
  const target = await startStutteringTarget(t);
  await site.startAgent("parts-1", [
    "--target-kind=plain",
    `--target-url=${target.url}`,
    "--pool=parts",
  ]);
  const entryUrl = site.getEntryUrl("entry-1");
  const callers = Array.from({ length: CALLER_COUNT }, async (_, caller) => {
    for (let index = 0; index < CALLS_PER_CALLER; index++) {
      const path = `/services/parts/part/${caller}-${index}`;
      const { status, body, isComplete } = await callEntry(entryUrl, {
        key: site.callerKey,
        path,
      });
      // The site's own plain service answers the other calls.
      if (status !== 200 || !body.startsWith(PREFIX)) continue;
      assert.ok(isComplete);
      assert.ok(path.endsWith(body.slice(PREFIX.length)), `${path}: ${body}`);
    }
  });
  await Promise.all(callers);
  t.diagnostic(`${target.readCount()} calls of the stuttering target`);
  assert.ok(target.readCount() > CALLS_PER_CALLER);
});

/** Answers each call again when its connection brings the next one. */
async function startStutteringTarget(t: TestContext) {
  let count = 0;
  const server = createServer((socket) => {
    let late = "";
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      const path = String(bytes).split(" ")[1] ?? "";
      const text = PREFIX + path;
      count += 1;
      socket.write(late);
      late =
        `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
      const answer = late;
      setTimeout(() => socket.write(answer), 2);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, readCount: () => count };
}
