/**
 * Program with engines that send bytes without end, until the connection is
 * closed. Its arguments are their service and the form of the bytes; it prints
 * their ids and registrations as one line of JSON.
 */

import process from "node:process";
import { ENDLESS_FORMS, type EndlessFormName } from "./endless_forms.ts";
import { sendWithoutEnd, SiteEngine } from "./site_engine.ts";

const ENGINE_COUNT = 10;

const [service = "", formName = ""] = process.argv.slice(2);
const form = ENDLESS_FORMS[formName as EndlessFormName];
if (form === undefined) {
  const names = Object.keys(ENDLESS_FORMS).join(", ");
  console.error(`Unknown form "${formName}"; known forms: ${names}`);
  process.exit(2);
}
const engines = await Promise.all(
  Array.from(
    { length: ENGINE_COUNT },
    (_, index) => SiteEngine.create(`${service}-${index}`),
  ),
);
for (const engine of engines) {
  engine.script = (call) => {
    const start = form.renderStart(call);
    sendWithoutEnd(call, { start, repeated: form.repeated });
  };
}
console.log(JSON.stringify({
  engines: engines.map((engine) => ({
    id: engine.id,
    spec: engine.createServerSpec({ service }),
  })),
}));
