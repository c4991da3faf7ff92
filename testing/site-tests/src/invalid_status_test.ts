import { callEntry } from "@dandelionbank/run-site";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { startSite } from "./mod.ts";

const CALL_COUNT = 40;
const BODY = "no answer";
const ANSWER = [
  "HTTP/1.1 000 Status",
  "content-type: text/plain",
  `content-length: ${BODY.length}`,
  "",
  BODY,
].join("\r\n");

test("An answer with the status 000 behind an agent reaches no caller", async (t) => {
  const site = await startSite(t, { entries: 1, ranks: 1 });
  const target = await startTarget(t);
  await site.startAgent("parts-1", [
    "--target-kind=plain",
    `--target-url=${target.url}`,
    "--pool=parts",
  ]);
  const entryUrl = site.getEntryUrl("entry-1");
  const statuses = new Map<number, number>();
  for (let index = 0; index < CALL_COUNT; index++) {
    const { status, body } = await callEntry(entryUrl, {
      key: site.callerKey,
      path: `/services/parts/part/${index}`,
    });
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    // The site's own plain service answers the other calls.
    assert.ok(status === 200 || status >= 500, `status ${status}`);
    assert.ok(!body.includes(BODY), body);
  }
  t.diagnostic(JSON.stringify([...statuses]));
  assert.ok(target.readCount() > 0);
});

async function startTarget(t: TestContext) {
  let count = 0;
  const server = createServer((socket) => {
    // The agent resets the connection.
    socket.on("error", () => undefined);
    socket.on("data", () => {
      count += 1;
      socket.write(ANSWER);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, readCount: () => count };
}
