/** Calls the target for one attempt and writes the answer to its log as it arrives. */

import type {
  RunningCall,
  TargetAdapter,
  TargetFailure,
  TargetHead,
} from "@dandelionbank/call-target";
import type { AnswerLog } from "@dandelionbank/keep-answers";
import type { AttemptHead } from "@dandelionbank/types";

/** A call in progress; any reader may resume it after a pause. */
export type AttemptRun = RunningCall;

export interface AttemptRunOptions {
  readonly head: AttemptHead;
  readonly body: Uint8Array;
  readonly log: AnswerLog;
  readonly adapter: TargetAdapter;
  readonly readNowMs: () => number;
  readonly onHead: (head: TargetHead) => void;
  readonly onComplete: () => void;
  readonly onFailure: (failure: TargetFailure) => void;
}

export function startAttemptRun(options: AttemptRunOptions): AttemptRun {
  const { head, log, adapter, readNowMs } = options;
  const call: RunningCall = adapter.call(
    {
      method: head.method,
      path: head.path,
      contentType: head.contentType,
      priority: head.priority,
      ...(head.key === undefined ? {} : { key: head.key }),
      body: options.body,
    },
    {
      onHead: (answerHead) => {
        options.onHead(answerHead);
        log.writeHead(answerHead.status, answerHead.contentType);
      },
      onData: (chunk) => {
        if (!log.writeData(chunk, readNowMs())) call.pause();
      },
      onEnd: options.onComplete,
      onFailure: options.onFailure,
    },
  );
  return call;
}
