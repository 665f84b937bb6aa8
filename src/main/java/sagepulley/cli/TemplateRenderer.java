package sagepulley.cli;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;
import java.util.Map;

/** Renders the FreeMarker templates that the program contains. */
final class TemplateRenderer {
    private TemplateRenderer() {}

    /** The template of a name with its values filled in. */
    static String fill(String template, Map<String, Object> values) throws IOException {
        Configuration templates = new Configuration(Configuration.VERSION_2_3_34);
        templates.setClassLoaderForTemplateLoading(
                TemplateRenderer.class.getClassLoader(), "templates");
        templates.setDefaultEncoding("UTF-8");
        templates.setLocale(Locale.ROOT);
        StringWriter page = new StringWriter();
        try {
            templates.getTemplate(template).process(values, page);
        } catch (TemplateException e) {
            throw new IOException(
                    "the template " + template + " failed: " + e.getMessageWithoutStackTop(), e);
        }
        return page.toString();
    }
}
