import assert from "node:assert/strict";
import { test } from "node:test";
import { startPlain } from "./mod.ts";

function sendCall(url: string): Promise<Response> {
  return fetch(`${url}/reels/7`, {
    method: "POST",
    headers: { "idempotency-key": "ticket/1" },
    body: "one reel",
  });
}

test("A call whose answer is lost has run and counts as an execution", async (context) => {
  const plain = await startPlain();
  context.after(() => plain.close());
  plain.changeSettings({ dropAnswer: true });
  await assert.rejects(sendCall(plain.listening));
  plain.changeSettings({ dropAnswer: false });

  const answer = await sendCall(plain.listening);
  assert.deepEqual(await answer.json(), {
    method: "POST",
    path: "/reels/7",
    body: "one reel",
    run: 2,
  });
  const executions = await (await fetch(`${plain.listening}/executions`))
    .json();
  assert.deepEqual(executions, { executions: [{ key: "ticket/1", count: 2 }] });
});
