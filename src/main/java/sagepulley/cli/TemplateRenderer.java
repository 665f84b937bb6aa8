package sagepulley.cli;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;
import java.util.Map;

/** Renders the bundled FreeMarker templates. */
final class TemplateRenderer {
    private TemplateRenderer() {}

    /** Renders the named template with the given values. */
    static String render(String template, Map<String, Object> values) throws IOException {
        Configuration configuration = new Configuration(Configuration.VERSION_2_3_34);
        configuration.setClassLoaderForTemplateLoading(
                TemplateRenderer.class.getClassLoader(), "templates");
        configuration.setDefaultEncoding("UTF-8");
        configuration.setLocale(Locale.ROOT);
        StringWriter output = new StringWriter();
        try {
            configuration.getTemplate(template).process(values, output);
        } catch (TemplateException e) {
            throw new IOException(
                    "rendering template " + template + " failed: " + e.getMessageWithoutStackTop(),
                    e);
        }
        return output.toString();
    }
}
