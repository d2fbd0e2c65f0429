import { Controller, Get } from "@nestjs/common";
import { OPENAPI_DOCUMENT } from "./openapi_document.ts";

/** Serves the OpenAPI document of the caller API. */
@Controller("v1/openapi.json")
export class OpenapiController {
  /** Returns the document. */
  @Get()
  document(): object {
    return OPENAPI_DOCUMENT;
  }
}
