import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import {
  FastifyAdapter,
  type NestFastifyApplication,
} from "@nestjs/platform-fastify";
import { CALLER_CONTROLLERS } from "./callers/mod.ts";
import { servicesPlugin } from "./callers/services_plugin.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { countRequests } from "./drain/mod.ts";
import { OPERATOR_CONTROLLERS } from "./operators/mod.ts";
import { TELEMETRY_CONTROLLERS } from "./telemetry/mod.ts";

const BODY_LIMIT_BYTES = 4 * 1_024 * 1_024;

@Module({})
class HttpModule {}

/**
 * Makes the HTTP application of a daemon.
 * @param parts The daemon's running parts.
 * @returns The application, not yet listening.
 */
export async function createHttpApplication(
  parts: DaemonParts,
): Promise<NestFastifyApplication> {
  const module: DynamicModule = {
    module: HttpModule,
    controllers: [
      ...CALLER_CONTROLLERS,
      ...OPERATOR_CONTROLLERS,
      ...TELEMETRY_CONTROLLERS,
    ],
    providers: [{ provide: DaemonParts, useValue: parts }],
  };
  const application = await NestFactory.create<NestFastifyApplication>(
    module,
    new FastifyAdapter({ bodyLimit: BODY_LIMIT_BYTES }),
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- Nest's own options are a class.
    { logger: false },
  );
  const fastify = application.getHttpAdapter().getInstance();
  countRequests(fastify, parts);
  await fastify.register(servicesPlugin(parts));
  return application;
}
