/**
 * Forms of bytes that are no answer, without end: what a target in trouble sends
 * until its caller closes the connection.
 */

import { type EngineCall, renderAnswerHead } from "./site_engine.ts";

export interface EndlessForm {
  /** Sent once, before the bytes without end. */
  readonly renderStart: (call: Pick<EngineCall, "answerHeaders">) => string;
  readonly repeated: Buffer;
}

const BLOCK_BYTES = 65_536;
const BLOCK = Buffer.alloc(BLOCK_BYTES, "x");
const CHUNKED = { "transfer-encoding": "chunked" };

export const ENDLESS_FORMS = {
  "an event": {
    renderStart: (call) => `${renderAnswerHead(call)}data: `,
    repeated: BLOCK,
  },
  "an event in chunks of one byte": {
    renderStart: (call) => renderAnswerHead(call, { fields: CHUNKED }),
    repeated: repeat("1\r\nx\r\n"),
  },
  "comments in chunks of one byte": {
    renderStart: (call) => renderAnswerHead(call, { fields: CHUNKED }),
    repeated: repeat("1\r\n:\r\n1\r\n\n\r\n1\r\n\n\r\n"),
  },
  "an error": {
    renderStart: (call) => renderAnswerHead(call, { status: 500 }),
    repeated: BLOCK,
  },
  "an error in chunks of one byte": {
    renderStart: (call) =>
      renderAnswerHead(call, { status: 500, fields: CHUNKED }),
    repeated: repeat("1\r\nx\r\n"),
  },
  "a refusal in chunks of one byte": {
    renderStart: (call) =>
      renderAnswerHead(call, { status: 503, fields: CHUNKED }),
    repeated: repeat("1\r\nx\r\n"),
  },
  "interim heads": {
    renderStart: () => "",
    repeated: repeat("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
  },
  "a head": {
    renderStart: () => "HTTP/1.1 200 OK\r\n",
    repeated: repeat("x-filler: 0123456789\r\n"),
  },
  "a head of empty fields": {
    renderStart: () => "HTTP/1.1 200 OK\r\n",
    repeated: repeat("a:\r\n"),
  },
  "trailers of empty fields": {
    renderStart: (call) =>
      `${renderAnswerHead(call, { fields: CHUNKED })}0\r\n`,
    repeated: repeat("a:\r\n"),
  },
  "a line of a head": {
    renderStart: () => "HTTP/1.1 200 OK\r\nx-filler: ",
    repeated: BLOCK,
  },
  "a reason phrase": {
    renderStart: () => "HTTP/1.1 200 ",
    repeated: BLOCK,
  },
  "line ends before a head": {
    renderStart: () => "",
    repeated: repeat("\r\n"),
  },
  "a chunk extension": {
    renderStart: (call) => `${renderAnswerHead(call, { fields: CHUNKED })}1;x=`,
    repeated: BLOCK,
  },
  "the zeros of a chunk size": {
    renderStart: (call) => renderAnswerHead(call, { fields: CHUNKED }),
    repeated: repeat("0"),
  },
  "trailers": {
    renderStart: (call) =>
      `${renderAnswerHead(call, { fields: CHUNKED })}0\r\n`,
    repeated: repeat("x-filler: 0123456789\r\n"),
  },
  "bytes after its answer": {
    renderStart: (call) =>
      `${
        renderAnswerHead(call, { status: 500, fields: { "content-length": 2 } })
      }no`,
    repeated: BLOCK,
  },
} as const satisfies Readonly<Record<string, EndlessForm>>;

export type EndlessFormName = keyof typeof ENDLESS_FORMS;

function repeat(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)));
}
