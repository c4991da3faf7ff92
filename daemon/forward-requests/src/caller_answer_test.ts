import { ByteBudget } from "@dandelionbank/collect-bytes";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { CallerAnswer } from "./caller_answer.ts";

test("A slow caller is waited for once, however many pieces its answer has", async (t) => {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const answered = new Promise<number>((resolve) => {
    server.once("request", (_, response: ServerResponse) => {
      const answer = CallerAnswer.create(response, {
        isLast: () => false,
        memory: ByteBudget.create(),
      });
      answer.startStream(200, {});
      let drained = 0;
      for (let index = 0; index < 100; index++) {
        if (answer.write(Buffer.alloc(1_000))) continue;
        answer.onceDrained(() => {
          drained += 1;
          setTimeout(() => resolve(drained), 20);
          answer.end();
        });
      }
      assert.equal(response.listenerCount("drain"), 1);
    });
  });
  get({ host: "127.0.0.1", port, agent: false }, (answer) => answer.resume());
  assert.equal(await answered, 1);
});
