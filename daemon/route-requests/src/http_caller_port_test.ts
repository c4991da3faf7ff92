import type {
  AnswerStartOptions,
  CallerAnswer,
} from "@dandelionbank/serve-callers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpCallerPort } from "./http_caller_port.ts";

const STREAM_HEAD = {
  status: 200,
  contentType: "text/event-stream",
  encoding: "utf8",
  target: "target-1",
} as const;
const CUT = { kind: "failed", code: "answerCut" } as const;

test("The error of a stream that breaks off inside an event is an event of its own", () => {
  const answer = createRecordingAnswer();
  const port = HttpCallerPort.create(answer);
  port.sendHead(STREAM_HEAD);
  port.sendData("data: a\n\ndata: ha");
  port.sendOutcome(CUT);
  assert.deepEqual(answer.calls, ["start", "data: a\n\n", "answerCut"]);
});

test("An event that arrives in parts is forwarded when it is complete", () => {
  const answer = createRecordingAnswer();
  const port = HttpCallerPort.create(answer);
  port.sendHead({ ...STREAM_HEAD, encoding: "base64" });
  port.sendData(Buffer.from("data: ha").toString("base64"));
  port.sendData(Buffer.from("lf\n\n").toString("base64"));
  port.sendEnd({ lengthBytes: 14 });
  assert.deepEqual(answer.calls, ["start", "data: half\n\n", "end"]);
});

test("A stream that ends inside an event is not ended as complete", () => {
  const answer = createRecordingAnswer();
  const port = HttpCallerPort.create(answer);
  port.sendHead(STREAM_HEAD);
  port.sendData("data: a\n\ndata: ha");
  port.sendEnd({ lengthBytes: 17 });
  assert.deepEqual(answer.calls, ["start", "data: a\n\n", "answerCut"]);
});

/** Creates an answer that records what is written to it. */
function createRecordingAnswer(): CallerAnswer & { readonly calls: string[] } {
  const calls: string[] = [];
  return {
    calls,
    isStarted: false,
    start: (_: AnswerStartOptions) => void calls.push("start"),
    write: (chunk) => calls.push(String(chunk)) > 0,
    end: () => void calls.push("end"),
    sendOutcome: ({ code }) => void calls.push(code),
    onDrained: () => {},
    onAbandoned: () => {},
  };
}
