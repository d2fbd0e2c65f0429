import { Controller, Get } from "@nestjs/common";
import { OPENAPI_DOCUMENT } from "./openapi_document.ts";

/** Serves the description of the callers' interface. */
@Controller("v1/openapi.json")
export class OpenapiController {
  /** Gives the document. */
  @Get()
  document(): object {
    return OPENAPI_DOCUMENT;
  }
}
