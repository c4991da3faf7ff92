import { encodeFrame, parseFrame } from "@dandelionbank/attempt-codec";
import type { AttemptResponder } from "@dandelionbank/serve-peers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RelayPort } from "./relay_port.ts";

test("A relayed answer is sent as frames that the other entry can parse", () => {
  const lines: string[] = [];
  const port = RelayPort.create("e2.7", createResponder(lines));
  const effect = {
    type: "sendEnd",
    callerId: "c",
    lengthBytes: 2,
    digest: "d",
  };
  port.sendHead({
    status: 200,
    contentType: "application/json",
    encoding: "utf8",
    target: "t",
  });
  port.sendData("{}");
  port.sendEnd(effect);

  const types = lines.map((line) => {
    const result = parseFrame(line.trimEnd());
    assert.ok(result.kind === "ok", line);
    assert.equal(result.frame.attemptId, "e2.7");
    return result.frame.type;
  });
  assert.deepEqual(types, ["admitted", "head", "data", "end"]);
});

function createResponder(lines: string[]): AttemptResponder {
  return {
    write: (line) => lines.push(line) > 0,
    send: (frame) => {
      lines.push(encodeFrame(frame));
    },
    end: () => {},
    onDrained: () => {},
    onAbandoned: () => {},
  };
}
