/**
 * Program with engines that begin an event and send it without end, until the
 * connection is closed. Its argument is their service; it prints their ids and
 * registrations as one line of JSON.
 */

import process from "node:process";
import {
  renderAnswerHead,
  sendWithoutEnd,
  SiteEngine,
} from "@dandelionbank/standin-site";

const ENGINE_COUNT = 10;
const CHUNK = Buffer.alloc(65_536, "x");

const service = process.argv[2] ?? "";
const engines = await Promise.all(
  Array.from(
    { length: ENGINE_COUNT },
    (_, index) => SiteEngine.create(`endless-${index}`),
  ),
);
for (const engine of engines) {
  engine.script = (call) => {
    const start = `${renderAnswerHead(call)}data: `;
    sendWithoutEnd(call, { start, repeated: CHUNK });
  };
}
console.log(JSON.stringify({
  engines: engines.map((engine) => ({
    id: engine.id,
    spec: engine.createServerSpec({ service }),
  })),
}));
