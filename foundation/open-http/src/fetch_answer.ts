/** Requests whose answer is buffered and returned as a whole. */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import type { HttpAnswerHead, HttpPool, HttpRequest } from "./http_pool.ts";

/** The longest answers are lists of objects, of a few MiB. */
const MAX_ANSWER_BYTES = 16_777_216;

export interface BufferedAnswer extends HttpAnswerHead {
  readonly body: Buffer;
}

export interface JsonAnswer extends HttpAnswerHead {
  /** The parsed body, or `undefined` if it is not JSON. */
  readonly value: unknown;
}

export interface FetchOptions {
  readonly timeoutMs: number;
  /** Longest body, from which also its parsed value is bounded; 16 MiB if absent. */
  readonly maxAnswerBytes?: number;
}

/**
 * Rejects with the error of the connection, after `timeoutMs`, or if the answer
 * is too long.
 */
export function fetchAnswer(
  pool: HttpPool,
  request: HttpRequest,
  { timeoutMs, maxAnswerBytes = MAX_ANSWER_BYTES }: FetchOptions,
): Promise<BufferedAnswer> {
  return new Promise((resolve, reject) => {
    const body = ByteCollector.create();
    let head: HttpAnswerHead = { status: 0, headers: {} };
    const giveUp = (reason: string) => {
      clearTimeout(timer);
      reject(new Error(reason));
      running.cancel();
    };
    const timer = setTimeout(
      () => giveUp(`No answer from ${pool.origin} in ${timeoutMs} ms`),
      timeoutMs,
    );
    const running = pool.send(request, {
      onHead: (answered) => {
        head = answered;
      },
      onData: (chunk) => {
        body.add(chunk);
        if (body.lengthBytes > maxAnswerBytes) {
          giveUp(
            `Answer from ${pool.origin} of more than ${maxAnswerBytes} bytes`,
          );
        }
      },
      onEnd: () => {
        clearTimeout(timer);
        resolve({ ...head, body: body.take() });
      },
      onError: (error) => {
        clearTimeout(timer);
        reject(error);
      },
    });
  });
}

/** Sends `value` as JSON and parses the answer as JSON. */
export async function callJson(
  pool: HttpPool,
  request: Omit<HttpRequest, "body"> & { readonly value?: unknown },
  options: FetchOptions,
): Promise<JsonAnswer> {
  const { value, ...rest } = request;
  const answer = await fetchAnswer(pool, {
    ...rest,
    headers: { "content-type": "application/json", ...rest.headers },
    ...(value === undefined ? {} : { body: JSON.stringify(value) }),
  }, options);
  const { status, headers } = answer;
  return { status, headers, value: parseJson(answer.body) };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
